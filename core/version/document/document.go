// Package document parses JSON with comments and trailing commas, and reads
// typed values from it. It collects the faults of a document, up to a limit, each with
// a result code, the location and a suggested correction, so that an operator can fix
// them at once.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// MaxBytes is the maximum size of a document. A configuration of 110,000 leafs
// takes 13 MB (about a fifth of MaxBytes) with ten leafs in each service, and
// 20 MB (about a third) with three.
const MaxBytes = 64 << 20

// maxDepth is the maximum number of objects and lists around a value. The parser
// recurses into each of them, and a stack that has grown too large ends the process.
const maxDepth = 256

// maxFaults is the maximum number of faults that a document records. Without it, a document
// of 262,144 bytes in which every value is a fault took 56 GB to check.
const maxFaults = 100

// Document is a parsed document with the faults found in it so far.
type Document struct {
	source []byte
	root   hujson.Value
	faults []Fault
	// hidden has the paths below which faults don't show values.
	hidden []string
}

// Parse parses a document. If the document is too large, its values are nested
// too deep or its syntax is invalid, the error is a *Faults with one fault.
func Parse(source []byte) (*Document, error) {
	d := &Document{source: source}
	if len(source) > MaxBytes {
		d.addFaultAt(result.DocumentTooLarge, "", 0, "the document is too large: %d bytes", fmt.Sprintf("write at most %d bytes", MaxBytes), len(source))
		return nil, d.Err()
	}
	if offset, found := nestedTooDeep(source, maxDepth); found {
		d.addFaultAt(result.Syntax, "", offset, "values are nested too deep", fmt.Sprintf("write at most %d objects and lists around a value", maxDepth))
		return nil, d.Err()
	}
	root, err := hujson.Parse(source)
	if err != nil {
		d.faults = append(d.faults, syntaxFault(source, err))
		return nil, d.Err()
	}
	d.root = root
	return d, nil
}

// ParsePlain is Parse for a document that must be JSON without comments and trailing commas.
func ParsePlain(source []byte) (*Document, error) {
	d, err := Parse(source)
	if err != nil || json.Valid(source) {
		return d, err
	}
	d.AddFault(result.Syntax, "", "the document is no JSON", "remove comments, and commas behind the last member or element")
	return nil, d.Err()
}

// HideValues keeps the faults at a path and below from showing values, which may be secret:
// faults are logged and passed on.
func (d *Document) HideValues(path string) { d.hidden = append(d.hidden, path) }

// describe names the kind of the value at a path or, if it may be shown, returns its text.
func (d *Document) describe(path string, value *hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return describeValue(value)
	}
	for _, hidden := range d.hidden {
		if path == hidden || strings.HasPrefix(path, hidden+"/") {
			return describeKind(literal)
		}
	}
	return describeValue(value)
}

// describeKind names the kind of a value that must not be shown.
func describeKind(literal hujson.Literal) string {
	switch literal.Kind() {
	case '"':
		return "a string"
	case '0':
		return "a number"
	}
	return "another value"
}

// Root returns the top-level object of the document. If the top-level value is
// not an object, Root records a fault and returns an object without members,
// which records no faults about missing keys.
func (d *Document) Root() *Object {
	return d.newObject(&d.root, "")
}

// AddFault records a fault at a JSON pointer (RFC 6901), such as
// /services/3/leafs/0/address. The pointer must be empty or start with a slash;
// otherwise AddFault panics. If the document has no value there, the fault
// gets the position of the closest enclosing value, or of the start of the
// document.
func (d *Document) AddFault(code result.Code, path, message, remedy string) {
	if len(d.faults) >= maxFaults {
		return
	}
	offset := 0
	for pointer := path; pointer != ""; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if value := d.root.Find(pointer); value != nil {
			offset = value.StartOffset
			break
		}
	}
	d.addFaultAt(code, path, offset, "%s", remedy, message)
}

// CheckAddress records a fault at the JSON pointer if the address is not an IP
// address with a port.
func (d *Document) CheckAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.AddFault(result.BadAddress, path, "the address is not valid", `write an IP address and a port, such as "127.0.0.1:9000"`)
	}
}

// Err returns the faults found so far as a *Faults, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &Faults{list: d.faults}
}

// addFaultAt records a fault at a byte offset in the document. The message is
// formatted from format and args; remedy is used unchanged.
func (d *Document) addFaultAt(code result.Code, path string, offset int, format, remedy string, args ...any) {
	if len(d.faults) >= maxFaults {
		return
	}
	line, column := lineAndColumn(d.source, offset)
	d.faults = append(d.faults, Fault{
		code:    code,
		path:    path,
		line:    line,
		column:  column,
		message: fmt.Sprintf(format, args...),
		remedy:  remedy,
	})
}

// lineAndColumn converts a byte offset into a line and a column in bytes, both
// counted from 1. An offset beyond the end of the source counts as the end.
func lineAndColumn(source []byte, offset int) (line, column int) {
	offset = min(offset, len(source))
	before := source[:offset]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// invalidLiteral is the beginning of the parser's message for a value that is no JSON.
const invalidLiteral = "invalid literal"

// syntaxFault converts an error of the parser into a fault. The line and
// column are read from the message of the parser, for example "hujson: line 3,
// column 7: ...", and this prefix is removed from the message of the fault. If
// the parser gives no line and column, the fault has the whole message and is
// located at the end of the document.
func syntaxFault(source []byte, err error) Fault {
	fault := Fault{code: result.Syntax, message: err.Error(), remedy: "check that all brackets and quotes are closed and that members are separated by commas"}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		fault.line = line
		fault.column = column
		fault.message = err.Error()[strings.Index(err.Error(), ": ")+2:]
		if _, rest, ok := strings.Cut(fault.message, ": "); ok {
			fault.message = rest
		}
		if strings.HasPrefix(fault.message, invalidLiteral) {
			// The parser adds the literal, which may be a key of a team.
			fault.message = invalidLiteral
		}
		return fault
	}
	fault.line, fault.column = lineAndColumn(source, len(source))
	return fault
}
