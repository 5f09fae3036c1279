package document

import "bytes"

// scanner finds the bytes that structure a document. It needs no memory for nested
// values, so that a document can be checked before it is parsed, and it tolerates
// values that are not valid.
type scanner struct {
	source []byte
	offset int
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

// skipComment moves behind a comment whose first slash was read. It does nothing if no
// comment follows.
func (s *scanner) skipComment() {
	rest := s.source[s.offset:]
	end := ""
	switch {
	case bytes.HasPrefix(rest, []byte("/")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("*")):
		end = "*/"
	default:
		return
	}
	n := bytes.Index(rest[1:], []byte(end))
	if n < 0 {
		s.offset = len(s.source)
		return
	}
	s.offset += 1 + n + len(end)
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

// splitList finds the list that the top-level object has under a key. It returns the
// text of each element, and the document with this list empty. If there is no such
// list, or it has no end, rest is the whole document.
func splitList(source []byte, key string) (elements [][]byte, rest []byte) {
	s := scanner{source: source}
	if !s.seekList(`"` + key + `"`) {
		return nil, source
	}
	begin := s.offset
	elementBegin := begin
	for depth := 0; ; {
		kind, start := s.next()
		switch {
		case kind == 0:
			return nil, source
		case kind == '{' || kind == '[':
			depth++
		case kind == ',' && depth == 0:
			elements = append(elements, source[elementBegin:start])
			elementBegin = s.offset
		case (kind == '}' || kind == ']') && depth > 0:
			depth--
		case kind == '}' || kind == ']':
			if last := source[elementBegin:start]; len(bytes.TrimSpace(last)) > 0 {
				elements = append(elements, last)
			}
			return elements, append(append([]byte(nil), source[:begin]...), source[start:]...)
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
