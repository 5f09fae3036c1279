package document

import "bytes"

// scanner finds the bytes that structure a document. It needs no memory for nested
// values, so that a document can be checked before it is parsed, and it tolerates
// values that are not valid.
type scanner struct {
	source []byte
	offset int
	// plain is set if the document is JSON without comments and trailing commas. next
	// ignores it.
	plain bool
}

// next returns the next of the bytes { } [ ] , and :, or a quote for a whole string,
// and where it starts. It returns 0 at the end of the document. Comments and other
// literals are skipped.
func (s *scanner) next() (kind byte, start int) {
	for s.offset < len(s.source) {
		start = s.offset
		s.offset++
		switch c := s.source[start]; c {
		case '{', '}', '[', ']', ',', ':':
			return c, start
		case '"':
			s.skipString()
			return c, start
		case '/':
			s.skipComment()
		}
	}
	return 0, len(s.source)
}

// skipString moves behind the closing quote of a string.
func (s *scanner) skipString() {
	for s.offset < len(s.source) {
		c := s.source[s.offset]
		s.offset++
		switch c {
		case '\\':
			s.offset++
		case '"':
			return
		}
	}
	s.offset = len(s.source)
}

// skipComment moves behind a comment whose first slash was read, or to the end of the
// document if the comment has none. It does nothing if no comment follows. It reports
// whether it moved behind a whole comment; a line of comment may be the last one.
func (s *scanner) skipComment() bool {
	rest := s.source[s.offset:]
	end := ""
	switch {
	case bytes.HasPrefix(rest, []byte("/")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("*")):
		end = "*/"
	default:
		return false
	}
	n := bytes.Index(rest[1:], []byte(end))
	if n < 0 {
		s.offset = len(s.source)
		return end == "\n"
	}
	s.offset += 1 + n + len(end)
	return true
}

// nestedTooDeep returns the offset of the first value inside more than limit objects
// and lists, or false if there is none.
func nestedTooDeep(source []byte, limit int) (offset int, found bool) {
	s := scanner{source: source}
	depth := 0
	for {
		kind, start := s.next()
		switch kind {
		case 0:
			return 0, false
		case '{', '[':
			if depth++; depth > limit {
				return start, true
			}
		case '}', ']':
			depth--
		}
	}
}

// seekList moves behind the opening bracket of the list that the top-level object has
// under a quoted key. It returns false if there is none.
func (s *scanner) seekList(quotedKey string) bool {
	depth := 0
	// name is the last string in the top-level object; named is set between its colon
	// and its value.
	name, named := "", false
	for {
		kind, start := s.next()
		switch kind {
		case 0:
			return false
		case '"':
			if depth == 1 && !named {
				name = string(s.source[start:s.offset])
			}
			named = false
		case ':':
			named = depth == 1
		case '{', '[':
			if kind == '[' && named && name == quotedKey {
				return true
			}
			depth++
			named = false
		case '}', ']':
			depth--
		case ',':
			named = false
		}
	}
}
