package document

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// Strings returns the list of strings of a required key. It records a fault for
// each element that is not a string and leaves the element out.
func (o *Object) Strings(key string) []string {
	var out []string
	for i, element := range o.elements(key) {
		literal, ok := element.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			o.addWrongType(key+"/"+strconv.Itoa(i), element, "a string in quotes")
			continue
		}
		out = append(out, literal.String())
	}
	return out
}

// Ints returns the list of integers of a required key. It records a WrongType
// fault for each element that is not an integer within [low, high] and leaves
// the element out.
func (o *Object) Ints(key string, low, high int) []int {
	var out []int
	for i, element := range o.elements(key) {
		literal, ok := element.Value.(hujson.Literal)
		n, err := strconv.Atoi(string(literal))
		if !ok || err != nil || n < low || n > high {
			o.addWrongType(key+"/"+strconv.Itoa(i), element, fmt.Sprintf("a whole number from %d to %d", low, high))
			continue
		}
		out = append(out, n)
	}
	return out
}

// Objects returns the list of objects of a required key. For an element that is
// not an object it records a fault, and the list contains in its place an object
// without members, which records no faults about missing keys.
func (o *Object) Objects(key string) []*Object {
	var out []*Object
	for i, element := range o.elements(key) {
		out = append(out, o.doc.newObject(element, o.path+"/"+key+"/"+strconv.Itoa(i)))
	}
	return out
}

// elements returns the elements of a required list. If the key is missing or its
// value is not a list, elements returns nil and records a fault, unless the
// object itself is missing or invalid, which has been recorded already.
func (o *Object) elements(key string) []*hujson.Value {
	value := o.required(key, "a list in brackets")
	if value == nil {
		return nil
	}
	raw, ok := value.Value.(*hujson.Array)
	if !ok {
		o.addWrongType(key, value, "a list in brackets")
		return nil
	}
	out := make([]*hujson.Value, 0, len(raw.Elements))
	for i := range raw.Elements {
		out = append(out, &raw.Elements[i])
	}
	return out
}
