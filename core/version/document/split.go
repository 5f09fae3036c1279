package document

// Bounds on the bytes that are read while the elements of a list are looked for, some of
// them more than once: a factor of the length of the document, and a constant. Without
// them, an unreadable element of a few megabytes could cost minutes.
const (
	splitWorkFactor = 8
	splitWorkBytes  = 64 << 20
)

// splitter splits a list into its elements. It relies on no property of an element that
// can't be read: behind such a one it goes on at the next bytes that are a comma and a whole
// object, or the end of the list. What follows the list in the document tells its end from a
// bracket that belongs to such an element.
type splitter struct {
	scanner
	// work is the number of bytes that may still be read.
	work int
}

// listText is the text of a list in parts.
type listText struct {
	elements [][]byte
	// unreadable is the number of places with elements that can't be read.
	unreadable int
	// rest is the document with the list empty.
	rest []byte
}

// newSplitter returns a splitter for a document. Without comments, a comment is an element
// that can't be read.
func newSplitter(source []byte, comments bool) *splitter {
	return &splitter{scanner: scanner{source: source, plain: !comments}, work: splitWorkFactor*len(source) + splitWorkBytes}
}

// split finds the list that the top-level object has under a key. It returns false if there
// is no such list, or it has no end.
func (s *splitter) split(key string) (listText, bool) {
	if !s.seekList(`"` + key + `"`) {
		return listText{}, false
	}
	var out listText
	begin := s.offset
	for {
		start := s.offset
		if s.skipBlank() && s.endsListHere() {
			out.rest = append(append([]byte(nil), s.source[:begin]...), s.source[s.offset:]...)
			return out, true
		}
		if text, ok := s.element(); ok {
			out.elements = append(out.elements, text)
			continue
		}
		out.unreadable++
		if !s.resume(start) {
			return listText{}, false
		}
	}
}

// element reads an element with the comma behind it, if there is one, and returns its text.
// It returns false if the element can't be read.
func (s *splitter) element() (text []byte, ok bool) {
	if !s.skipBlank() {
		return nil, false
	}
	start := s.offset
	ok = s.value(0)
	s.work -= s.offset - start
	end := s.offset
	if !ok || s.work < 0 {
		return nil, false
	}
	// The bracket that closes a list may be that of the list which is split: an element
	// that can't be read has opened another one then.
	if s.source[start] == '[' && s.endsList(end-1) {
		return nil, false
	}
	if !s.skipBlank() {
		return nil, false
	}
	if s.peek() == ',' {
		s.offset++
		return s.source[start:end], true
	}
	return s.source[start:end], s.endsListHere()
}

// resume moves to where the list goes on behind an element that starts at an offset and
// can't be read. It returns false if the list has no end.
func (s *splitter) resume(start int) bool {
	for at := start; at < len(s.source) && s.work > 0; at++ {
		s.work--
		switch s.source[at] {
		case ']':
			if s.endsList(at) {
				s.offset = at
				return true
			}
		case ',':
			s.offset = at + 1
			if !s.skipBlank() || s.peek() != '{' {
				continue
			}
			object := s.offset
			if _, ok := s.element(); ok {
				s.offset = object
				return true
			}
		}
	}
	return false
}

// endsListHere is endsList for the next byte.
func (s *splitter) endsListHere() bool { return s.peek() == ']' && s.endsList(s.offset) }

// endsList reports whether the bracket at an offset ends the list: the members of the
// top-level object that follow, and its end, must be whole.
func (s *splitter) endsList(bracket int) bool {
	tail := scanner{source: s.source, offset: bracket + 1, plain: s.plain}
	ok := tail.members(0) && tail.skipBlank() && tail.offset == len(tail.source)
	s.work -= tail.offset - bracket
	return ok
}
