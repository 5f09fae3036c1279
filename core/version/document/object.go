package document

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Object reads the members of a JSON object. An accessor of a required key
// records a fault if the value is missing or invalid, and then returns a zero
// value or the lower bound. An accessor whose name ends in Or returns its
// default for a missing key and records a fault only for an invalid value. Each
// accessor also marks its key as requested, so that ReportUnknownKeys can report
// the others.
type Object struct {
	doc           *Document
	path          string
	offset        int
	members       map[string]*hujson.Value
	keyOffsets    map[string]int
	requestedKeys []string
	// invalid is set if the value is missing or not an object. This has been
	// recorded as a fault, so missing keys are not.
	invalid bool
}

// newObject indexes the members of a JSON object. It records a fault if the
// value is not an object and for each duplicate key. The first value of a
// duplicate key is used.
func (d *Document) newObject(value *hujson.Value, path string) *Object {
	o := &Object{
		doc:        d,
		path:       path,
		offset:     value.StartOffset,
		members:    make(map[string]*hujson.Value),
		keyOffsets: make(map[string]int),
	}
	raw, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addFaultAt(result.WrongType, path, value.StartOffset, "found %s", "write an object in braces", d.describe(path, value))
		o.invalid = true
		return o
	}
	for i := range raw.Members {
		member := &raw.Members[i]
		name := literalString(&member.Name)
		if _, duplicate := o.members[name]; duplicate {
			d.addFaultAt(result.DuplicateKey, path+"/"+name, member.Name.StartOffset, "duplicate key %q", "remove one of the two", name)
			continue
		}
		o.members[name] = &member.Value
		o.keyOffsets[name] = member.Name.StartOffset
	}
	return o
}

// Path returns the JSON pointer to the object.
func (o *Object) Path() string { return o.path }

// Err returns the faults found so far in the document of the object as a *Faults, or
// nil if there are none.
func (o *Object) Err() error { return o.doc.Err() }

// Has reports whether the object has the key, and marks it as requested.
func (o *Object) Has(key string) bool {
	return o.lookup(key) != nil
}

// String returns the string value of a required key.
func (o *Object) String(key string) string {
	value := o.required(key, "a string in quotes")
	if value == nil {
		return ""
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		o.addWrongType(key, value, "a string in quotes")
		return ""
	}
	return literal.String()
}

// StringOr returns the string value of a key, or the default if the key is
// missing.
func (o *Object) StringOr(key, defaultValue string) string {
	if !o.Has(key) {
		return defaultValue
	}
	return o.String(key)
}

// Int returns the integer value of a required key, which must be within [low,
// high]. If the key is missing or its value is not valid, Int returns low.
func (o *Object) Int(key string, low, high int) int {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	value, text, ok := o.numberLiteral(key, expected)
	if !ok {
		return low
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		o.addWrongType(key, value, expected)
		return low
	}
	if n < low || n > high {
		o.doc.addFaultAt(result.LimitOutOfRange, o.path+"/"+key, value.StartOffset, "%d is out of range", "write "+expected, n)
		return low
	}
	return n
}

// numberLiteral returns the value of a required key and the text of the number.
// If the key is missing or the value is not a number, numberLiteral records a
// fault and ok is false. expected describes the valid values and becomes part of
// the remedy. The Kind of a hujson literal is '0' for every number, whatever its
// first digit.
func (o *Object) numberLiteral(key, expected string) (value *hujson.Value, text string, ok bool) {
	value = o.required(key, expected)
	if value == nil {
		return nil, "", false
	}
	literal, isLiteral := value.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '0' {
		o.addWrongType(key, value, expected)
		return nil, "", false
	}
	return value, string(literal), true
}

// IntOr returns the integer value of a key, or the default if the key is
// missing.
func (o *Object) IntOr(key string, low, high, defaultValue int) int {
	if !o.Has(key) {
		return defaultValue
	}
	return o.Int(key, low, high)
}

// HasNonNull reports whether the object has the key with a value other than
// null, and marks it as requested.
func (o *Object) HasNonNull(key string) bool {
	value := o.lookup(key)
	if value == nil {
		return false
	}
	literal, ok := value.Value.(hujson.Literal)
	return !ok || literal.Kind() != 'n'
}

// Number returns the number value of a required key, which must be within
// [low, high] and may have a fraction. If the key is missing or its value is not
// valid, Number returns low.
func (o *Object) Number(key string, low, high float64) float64 {
	expected := fmt.Sprintf("a number from %g to %g", low, high)
	value, text, ok := o.numberLiteral(key, expected)
	if !ok {
		return low
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		o.addWrongType(key, value, expected)
		return low
	}
	if n < low || n > high {
		o.doc.addFaultAt(result.LimitOutOfRange, o.path+"/"+key, value.StartOffset, "%g is out of range", "write "+expected, n)
		return low
	}
	return n
}

// NumberOr returns the number value of a key, or the default if the key is
// missing or null.
func (o *Object) NumberOr(key string, low, high, defaultValue float64) float64 {
	if !o.HasNonNull(key) {
		return defaultValue
	}
	return o.Number(key, low, high)
}

// Object returns the object value of a required key. If the key is missing or
// its value is not an object, Object records a fault and returns an object
// without members, which records no faults about its own missing keys.
func (o *Object) Object(key string) *Object {
	value := o.required(key, "an object in braces")
	if value == nil {
		return &Object{doc: o.doc, path: o.path + "/" + key, invalid: true}
	}
	return o.doc.newObject(value, o.path+"/"+key)
}

// Address returns the string value of a required key, which must be an IP
// address with a port. An empty string is not checked, because String also
// returns it after a fault; so an empty address in the document is not reported.
func (o *Object) Address(key string) string {
	address := o.String(key)
	if address != "" {
		o.doc.CheckAddress(o.path+"/"+key, address)
	}
	return address
}

// Milliseconds returns the duration of a required key, which is written as an
// integer number of milliseconds within [low, high].
func (o *Object) Milliseconds(key string, low, high int) time.Duration {
	return time.Duration(o.Int(key, low, high)) * time.Millisecond
}

// Bool returns the boolean value of a required key.
func (o *Object) Bool(key string) bool {
	value := o.required(key, "true or false")
	if value == nil {
		return false
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		o.addWrongType(key, value, "true or false")
		return false
	}
	return literal.Bool()
}

// BoolOr returns the boolean value of a key, or the default if the key is
// missing.
func (o *Object) BoolOr(key string, defaultValue bool) bool {
	if !o.Has(key) {
		return defaultValue
	}
	return o.Bool(key)
}

// ReportUnknownKeys records a fault for each key that no accessor has
// requested.
func (o *Object) ReportUnknownKeys() {
	var unknown []string
	for name := range o.members {
		if !slices.Contains(o.requestedKeys, name) {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		o.doc.addFaultAt(result.UnknownKey, o.path+"/"+name, o.keyOffsets[name], "unknown key %q",
			"use one of "+strings.Join(o.requestedKeys, ", "), name)
	}
}

// lookup marks the key as requested and returns its value, or nil if the key
// is missing.
func (o *Object) lookup(key string) *hujson.Value {
	if !slices.Contains(o.requestedKeys, key) {
		o.requestedKeys = append(o.requestedKeys, key)
	}
	return o.members[key]
}

// required returns the value of a key. If the key is missing, it returns nil
// and records a fault, unless the object itself is missing or invalid, which
// has been recorded already. expected describes the valid values and becomes
// part of the remedy.
func (o *Object) required(key, expected string) *hujson.Value {
	value := o.lookup(key)
	if value == nil && !o.invalid {
		o.doc.addFaultAt(result.MissingKey, o.path, o.offset, "the key %q is missing", "add it with "+expected, key)
	}
	return value
}

func (o *Object) addWrongType(key string, value *hujson.Value, expected string) {
	o.doc.addFaultAt(result.WrongType, o.path+"/"+key, value.StartOffset, "found %s", "write "+expected, o.doc.describe(o.path+"/"+key, value))
}

// describeValue names the kind of an object or list, and returns the text of
// any other value.
func describeValue(value *hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(v)
	}
	return "nothing"
}

func literalString(value *hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}
