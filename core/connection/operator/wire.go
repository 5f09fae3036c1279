// Package operator is the operators' interface over HTTP: what mulberryctl
// sends to a VM and what the VM answers, both ends in one place.
package operator

import (
	"bytes"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Paths of the operators' interface.
const (
	PathConfiguration = "/configuration"
	PathChanges       = "/changes"
	PathStatus        = "/status"
	PathAudit         = "/audit"
	// HeaderVersion carries the version of a configuration document.
	HeaderVersion = "Configuration-Version"
)

// MaxChangeBytes bounds the body of a change.
const MaxChangeBytes = 2 * document.MaxBytes

// maxInt bounds whole numbers that have no narrower range.
const maxInt = 1 << 53

// Change is a change that an operator sends: a whole document, or a data
// centre taken out of service or put back.
type Change struct {
	id        string
	base      uint64
	author    string
	reason    string
	document  string
	centre    string
	inService bool
}

// NewDocumentChange returns the change that puts a document in force.
func NewDocumentChange(id string, base uint64, author, reason, document string) Change {
	return Change{id: id, base: base, author: author, reason: reason, document: document}
}

// NewDataCentreChange returns the change that takes a data centre out or back.
func NewDataCentreChange(id string, base uint64, author, reason, centre string, inService bool) Change {
	return Change{id: id, base: base, author: author, reason: reason, centre: centre, inService: inService}
}

// ID returns the change id.
func (c Change) ID() string { return c.id }

// BaseVersion returns the version that the author saw.
func (c Change) BaseVersion() uint64 { return c.base }

// Author returns who sends the change.
func (c Change) Author() string { return c.author }

// Reason returns why.
func (c Change) Reason() string { return c.reason }

// Document returns the new document, empty for a change of a data centre.
func (c Change) Document() string { return c.document }

// DataCentre returns the data centre and its new state.
func (c Change) DataCentre() (name string, inService bool) { return c.centre, c.inService }

// EncodeChange writes a change as JSON.
func EncodeChange(c Change) ([]byte, error) {
	f := newForm()
	f.text("change-id", c.id)
	f.number("base-version", c.base)
	f.text("author", c.author)
	f.text("reason", c.reason)
	if c.centre != "" {
		f.text("data-centre", c.centre)
		f.truth("in-service", c.inService)
	} else {
		f.text("document", c.document)
	}
	return f.end()
}

// DecodeChange reads a change.
func DecodeChange(text []byte) (Change, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Change{}, err
	}
	o := doc.Root()
	c := Change{
		id:     o.String("change-id"),
		base:   uint64(o.Int("base-version", 0, maxInt)),
		author: o.StringOr("author", ""),
		reason: o.StringOr("reason", ""),
	}
	if o.Has("data-centre") {
		c.centre = o.String("data-centre")
		c.inService = o.Bool("in-service")
	} else {
		c.document = o.String("document")
	}
	o.Done()
	if c.id == "" && doc.Err() == nil {
		return c, result.New(result.MissingKey, "the key change-id is empty")
	}
	return c, doc.Err()
}

// Outcome is the answer to a change.
type Outcome struct {
	code    result.Code
	version uint64
	message string
}

// NewOutcome returns the answer to a change.
func NewOutcome(code result.Code, version uint64, message string) Outcome {
	return Outcome{code: code, version: version, message: message}
}

// Code returns the numbered code.
func (o Outcome) Code() result.Code { return o.code }

// Version returns the version that the change made or met.
func (o Outcome) Version() uint64 { return o.version }

// Message returns a sentence for the operator.
func (o Outcome) Message() string { return o.message }

// EncodeOutcome writes the answer to a change.
func EncodeOutcome(o Outcome) ([]byte, error) {
	f := newForm()
	f.number("result-code", uint64(o.code))
	f.text("result", o.code.String())
	f.number("version", o.version)
	f.text("message", o.message)
	return f.end()
}

// DecodeOutcome reads the answer to a change.
func DecodeOutcome(text []byte) (Outcome, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Outcome{}, err
	}
	o := doc.Root()
	return Outcome{
		code:    result.Code(o.Int("result-code", 0, 999)),
		version: uint64(o.IntOr("version", 0, maxInt, 0)),
		message: o.StringOr("message", ""),
	}, doc.Err()
}

// EncodeAudit writes the audit trail.
func EncodeAudit(records []audit.Record) ([]byte, error) {
	f := newForm()
	f.list("attempts", len(records), func(i int) {
		r := records[i]
		f.text("at", r.At().UTC().Format(time.RFC3339Nano))
		f.text("change-id", r.ChangeID())
		f.text("author", r.Author())
		f.text("reason", r.Reason())
		f.number("base-version", r.Base())
		f.number("version", r.Version())
		f.number("result-code", uint64(r.Code()))
		f.texts("changes", r.Changes())
	})
	return f.end()
}

// DecodeAudit reads the audit trail.
func DecodeAudit(text []byte) ([]audit.Record, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	var out []audit.Record
	for _, o := range doc.Root().Objects("attempts") {
		at, err := time.Parse(time.RFC3339Nano, o.String("at"))
		if err != nil {
			doc.Add(result.WrongType, o.Path()+"/at", "this is no time", "write a time by RFC 3339")
		}
		out = append(out, audit.NewRecord(at, o.String("change-id"), o.String("author"), o.String("reason"),
			uint64(o.Int("base-version", 0, maxInt)), uint64(o.Int("version", 0, maxInt)),
			result.Code(o.Int("result-code", 0, 999)), o.Strings("changes")))
	}
	return out, doc.Err()
}

// form writes a JSON object and remembers the first error.
type form struct {
	buffer bytes.Buffer
	enc    *jsontext.Encoder
	err    error
}

func newForm() *form {
	f := &form{}
	f.enc = jsontext.NewEncoder(&f.buffer)
	f.token(jsontext.BeginObject)
	return f
}

func (f *form) token(t jsontext.Token) {
	if f.err == nil {
		f.err = f.enc.WriteToken(t)
	}
}

func (f *form) text(key, value string) {
	f.token(jsontext.String(key))
	f.token(jsontext.String(value))
}

func (f *form) number(key string, n uint64) {
	f.token(jsontext.String(key))
	f.token(jsontext.Uint(n))
}

func (f *form) truth(key string, b bool) {
	f.token(jsontext.String(key))
	f.token(jsontext.Bool(b))
}

func (f *form) texts(key string, list []string) {
	f.token(jsontext.String(key))
	f.token(jsontext.BeginArray)
	for _, s := range list {
		f.token(jsontext.String(s))
	}
	f.token(jsontext.EndArray)
}

// list writes a list of objects; the function writes the members of one.
func (f *form) list(key string, n int, element func(i int)) {
	f.token(jsontext.String(key))
	f.token(jsontext.BeginArray)
	for i := range n {
		f.token(jsontext.BeginObject)
		element(i)
		f.token(jsontext.EndObject)
	}
	f.token(jsontext.EndArray)
}

func (f *form) end() ([]byte, error) {
	f.token(jsontext.EndObject)
	return f.buffer.Bytes(), f.err
}
