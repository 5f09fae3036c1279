package document

import "github.com/mulberrydale/mulberrydale/core/result"

// List is a document whose top-level object has a list of objects under one key. Each
// element is a document of its own, so that one that can't be read does not make the
// others unreadable.
type List struct {
	root     *Object
	elements []*Object
	invalid  int
}

// ParseList parses a document with a list under a key. The error is a *Faults if the
// document without the elements of this list is not a valid object with unique keys,
// or has no list there.
func ParseList(source []byte, key string) (List, error) { return parseList(source, key, true) }

// ParsePlainList is ParseList for a list without comments and trailing commas. A comment is
// an element that can't be read.
func ParsePlainList(source []byte, key string) (List, error) { return parseList(source, key, false) }

func parseList(source []byte, key string, comments bool) (List, error) {
	texts, found := newSplitter(source, comments).split(key)
	if !found {
		texts.rest = source
	}
	doc, err := Parse(texts.rest)
	if err != nil {
		return List{}, err
	}
	l := List{root: doc.Root(), invalid: texts.unreadable}
	if len(l.root.Objects(key)) > 0 {
		doc.addFaultAt(result.WrongType, l.root.path+"/"+key, l.root.offset, "the list under %q has no end, or the key is written with escapes", "close the list, and write the key without escapes", key)
	}
	if doc.Err() != nil {
		return List{}, doc.Err()
	}
	for _, text := range texts.elements {
		element, err := Parse(text)
		if err != nil {
			l.invalid++
			continue
		}
		o := element.Root()
		if o.Err() != nil {
			l.invalid++
			continue
		}
		l.elements = append(l.elements, o)
	}
	return l, nil
}

// Root returns the top-level object. Its list under the key is empty.
func (l List) Root() *Object { return l.root }

// Elements returns the elements that are objects with unique keys.
func (l List) Elements() []*Object { return l.elements }

// Invalid returns the number of other elements, which can't be read or are no objects
// with unique keys.
func (l List) Invalid() int { return l.invalid }
