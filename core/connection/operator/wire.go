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
const maxExactInt = 1 << 53

// Change is a change that an operator sends: a whole document, or a data
// centre taken out of service or put back.
type Change struct {
	id          string
	baseVersion uint64
	author      string
	reason      string
	document    string
	dataCentre  string
	inService   bool
}

// NewDocumentChange returns the change that puts a document in force.
func NewDocumentChange(id string, baseVersion uint64, author, reason, document string) Change {
	return Change{id: id, baseVersion: baseVersion, author: author, reason: reason, document: document}
}

// NewDataCentreChange returns the change that takes a data centre out or back.
func NewDataCentreChange(id string, baseVersion uint64, author, reason, dataCentre string, inService bool) Change {
	return Change{id: id, baseVersion: baseVersion, author: author, reason: reason, dataCentre: dataCentre, inService: inService}
}

// ID returns the change id.
func (c Change) ID() string { return c.id }

// BaseVersion returns the version that the author saw.
func (c Change) BaseVersion() uint64 { return c.baseVersion }

// Author returns who sends the change.
func (c Change) Author() string { return c.author }

// Reason returns why.
func (c Change) Reason() string { return c.reason }

// Document returns the new document, empty for a change of a data centre.
func (c Change) Document() string { return c.document }

// DataCentre returns the data centre and its new state.
func (c Change) DataCentre() (name string, inService bool) { return c.dataCentre, c.inService }

// EncodeChange writes a change as JSON.
func EncodeChange(c Change) ([]byte, error) {
	w := newObjectWriter()
	w.writeString("change-id", c.id)
	w.writeUint("base-version", c.baseVersion)
	w.writeString("author", c.author)
	w.writeString("reason", c.reason)
	if c.dataCentre != "" {
		w.writeString("data-centre", c.dataCentre)
		w.writeBool("in-service", c.inService)
	} else {
		w.writeString("document", c.document)
	}
	return w.finish()
}

// DecodeChange reads a change.
func DecodeChange(text []byte) (Change, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Change{}, err
	}
	o := doc.Root()
	c := Change{
		id:          o.String("change-id"),
		baseVersion: uint64(o.Int("base-version", 0, maxExactInt)),
		author:      o.StringOr("author", ""),
		reason:      o.StringOr("reason", ""),
	}
	if o.Has("data-centre") {
		c.dataCentre = o.String("data-centre")
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
	w := newObjectWriter()
	w.writeUint("result-code", uint64(o.code))
	w.writeString("result", o.code.String())
	w.writeUint("version", o.version)
	w.writeString("message", o.message)
	return w.finish()
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
		version: uint64(o.IntOr("version", 0, maxExactInt, 0)),
		message: o.StringOr("message", ""),
	}, doc.Err()
}

// EncodeAudit writes the audit trail.
func EncodeAudit(records []audit.Record) ([]byte, error) {
	w := newObjectWriter()
	w.writeObjects("attempts", len(records), func(i int) {
		r := records[i]
		w.writeString("at", r.At().UTC().Format(time.RFC3339Nano))
		w.writeString("change-id", r.ChangeID())
		w.writeString("author", r.Author())
		w.writeString("reason", r.Reason())
		w.writeUint("base-version", r.Base())
		w.writeUint("version", r.Version())
		w.writeUint("result-code", uint64(r.Code()))
		w.writeStrings("changes", r.Changes())
	})
	return w.finish()
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
			uint64(o.Int("base-version", 0, maxExactInt)), uint64(o.Int("version", 0, maxExactInt)),
			result.Code(o.Int("result-code", 0, 999)), o.Strings("changes")))
	}
	return out, doc.Err()
}

// form writes a JSON object and remembers the first error.
type objectWriter struct {
	buffer bytes.Buffer
	enc    *jsontext.Encoder
	err    error
}

func newObjectWriter() *objectWriter {
	w := &objectWriter{}
	w.enc = jsontext.NewEncoder(&w.buffer)
	w.writeToken(jsontext.BeginObject)
	return w
}

func (w *objectWriter) writeToken(t jsontext.Token) {
	if w.err == nil {
		w.err = w.enc.WriteToken(t)
	}
}

func (w *objectWriter) writeString(key, value string) {
	w.writeToken(jsontext.String(key))
	w.writeToken(jsontext.String(value))
}

func (w *objectWriter) writeUint(key string, n uint64) {
	w.writeToken(jsontext.String(key))
	w.writeToken(jsontext.Uint(n))
}

func (w *objectWriter) writeBool(key string, b bool) {
	w.writeToken(jsontext.String(key))
	w.writeToken(jsontext.Bool(b))
}

func (w *objectWriter) writeStrings(key string, list []string) {
	w.writeToken(jsontext.String(key))
	w.writeToken(jsontext.BeginArray)
	for _, s := range list {
		w.writeToken(jsontext.String(s))
	}
	w.writeToken(jsontext.EndArray)
}

// list writes a list of objects; the function writes the members of one.
func (w *objectWriter) writeObjects(key string, n int, element func(i int)) {
	w.writeToken(jsontext.String(key))
	w.writeToken(jsontext.BeginArray)
	for i := range n {
		w.writeToken(jsontext.BeginObject)
		element(i)
		w.writeToken(jsontext.EndObject)
	}
	w.writeToken(jsontext.EndArray)
}

func (w *objectWriter) finish() ([]byte, error) {
	w.writeToken(jsontext.EndObject)
	return w.buffer.Bytes(), w.err
}
