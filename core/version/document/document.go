// Package document reads JSON with comments into domain types by hand. It
// collects every fault of a text with its code, place and remedy, so that an
// operator mends a file in one round.
package document

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// MaxBytes bounds a document. A configuration of 110,000 leafs takes about
// a third of it.
const MaxBytes = 64 << 20

// Document is a parsed text together with the faults found in it so far.
type Document struct {
	source []byte
	root   hujson.Value
	faults []Fault
}

// Parse parses a text. An error is a *Faults with one fault of syntax or size.
func Parse(source []byte) (*Document, error) {
	d := &Document{source: source}
	if len(source) > MaxBytes {
		d.addFaultAt(result.DocumentTooLarge, "", 0, "the document has %d bytes", fmt.Sprintf("keep it under %d bytes", MaxBytes), len(source))
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

// Root returns the object at the top of the document.
func (d *Document) Root() *Object {
	return d.newObject(&d.root, "")
}

// AddFault records a fault at a JSON pointer (RFC 6901) into the document, such as
// /services/3/leafs/0/address.
func (d *Document) AddFault(code result.Code, path, message, remedy string) {
	offset := 0
	for pointer := path; pointer != ""; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if value := d.root.Find(pointer); value != nil {
			offset = value.StartOffset
			break
		}
	}
	d.addFaultAt(code, path, offset, "%s", remedy, message)
}

// CheckAddress notes a fault where a text is no IP number with a port.
func (d *Document) CheckAddress(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		d.AddFault(result.BadAddress, path, "this is no address", `write an IP number and a port, such as "127.0.0.1:9000"`)
	}
}

// FaultCount returns the number of faults found so far.
func (d *Document) FaultCount() int { return len(d.faults) }

// Err returns the faults found so far as a *Faults, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &Faults{list: d.faults}
}

func (d *Document) addFaultAt(code result.Code, path string, offset int, format, remedy string, args ...any) {
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

// position turns an offset into a line and a column, both counted from 1.
func lineAndColumn(source []byte, offset int) (line, column int) {
	offset = min(offset, len(source))
	before := string(source[:offset])
	line = 1 + strings.Count(before, "\n")
	column = offset - strings.LastIndexByte(before, '\n')
	return line, column
}

// syntaxFault reads the place out of the parser's message, which starts with
// "hujson: line 3, column 7: ".
func syntaxFault(source []byte, err error) Fault {
	fault := Fault{code: result.Syntax, message: err.Error(), remedy: "close every bracket and quote; separate members by commas"}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		fault.line = line
		fault.column = column
		fault.message = err.Error()[strings.Index(err.Error(), ": ")+2:]
		if _, rest, ok := strings.Cut(fault.message, ": "); ok {
			fault.message = rest
		}
		return fault
	}
	fault.line, fault.column = lineAndColumn(source, len(source))
	return fault
}
