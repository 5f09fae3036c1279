package document

// peek returns the next byte, 0 at the end of the document.
func (s *scanner) peek() byte {
	if s.offset < len(s.source) {
		return s.source[s.offset]
	}
	return 0
}

// skipBlank moves behind white space and, unless the document is plain JSON, comments. It
// returns false for a comment without an end.
func (s *scanner) skipBlank() bool {
	for s.offset < len(s.source) {
		switch s.source[s.offset] {
		case ' ', '\t', '\r', '\n':
			s.offset++
		case '/':
			start := s.offset
			s.offset++
			if s.plain || !s.skipComment() {
				s.offset = start
				return false
			}
		default:
			return true
		}
	}
	return true
}

// value moves behind a value inside depth others and reports whether its structure is
// right. Literals other than strings are not checked.
func (s *scanner) value(depth int) bool {
	if depth > maxDepth {
		return false
	}
	switch s.peek() {
	case '{':
		s.offset++
		return s.skipBlank() && (s.skip('}') || s.member(depth) && s.members(depth))
	case '[':
		s.offset++
		return s.skipBlank() && (s.skip(']') || s.value(depth+1) && s.items(depth))
	case '"':
		return s.text()
	}
	start := s.offset
	for s.offset < len(s.source) && isLiteralByte(s.source[s.offset]) {
		s.offset++
	}
	return s.offset > start
}

// members moves behind the rest of an object, which begins behind one of its members.
func (s *scanner) members(depth int) bool {
	for s.skipBlank() {
		if s.skip('}') {
			return true
		}
		if !s.skip(',') || !s.skipBlank() {
			return false
		}
		if !s.plain && s.skip('}') {
			return true
		}
		if !s.member(depth) {
			return false
		}
	}
	return false
}

// member moves behind a key and its value.
func (s *scanner) member(depth int) bool {
	return s.peek() == '"' && s.text() && s.skipBlank() && s.skip(':') && s.skipBlank() && s.value(depth+1)
}

// items moves behind the rest of a list, which begins behind one of its elements.
func (s *scanner) items(depth int) bool {
	for s.skipBlank() {
		if s.skip(']') {
			return true
		}
		if !s.skip(',') || !s.skipBlank() {
			return false
		}
		if !s.plain && s.skip(']') {
			return true
		}
		if !s.value(depth + 1) {
			return false
		}
	}
	return false
}

// text moves behind a string, which may not have control characters.
func (s *scanner) text() bool {
	for s.offset++; s.offset < len(s.source); s.offset++ {
		switch c := s.source[s.offset]; {
		case c == '"':
			s.offset++
			return true
		case c == '\\':
			s.offset++
		case c < ' ':
			return false
		}
	}
	return false
}

// skip moves behind a byte and reports whether it is the next one.
func (s *scanner) skip(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.offset++
	return true
}

// isLiteralByte reports whether a byte occurs in numbers, true, false and null.
func isLiteralByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '+' || c == '-' || c == '.'
}
