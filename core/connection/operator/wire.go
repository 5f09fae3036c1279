// Package operator implements the operators' HTTP interface: the client that
// mulberryctl uses, and the JSON encoding that client and VM share.
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
	// HeaderVersion is the response header with the version of a configuration
	// document.
	HeaderVersion = "Configuration-Version"
)

// MaxChangeBytes limits the body of a change.
const MaxChangeBytes = 2 * document.MaxBytes

// maxExactInt is the upper limit of integers without a narrower range. Up to it,
// every integer is exact as a JSON number.
const maxExactInt = 1 << 53

// Change is a change sent by an operator. It either replaces the whole
// configuration document, or takes a data centre out of service or back into
// service.
type Change struct {
	id          string
	baseVersion uint64
	author      string
	reason      string
	document    string
	dataCentre  string
	inService   bool
}

// NewDocumentChange returns a change that replaces the configuration document.
func NewDocumentChange(id string, baseVersion uint64, author, reason, document string) Change {
	return Change{id: id, baseVersion: baseVersion, author: author, reason: reason, document: document}
}

// NewDataCentreChange returns a change that takes a data centre into or out of
// service.
func NewDataCentreChange(id string, baseVersion uint64, author, reason, dataCentre string, inService bool) Change {
	return Change{id: id, baseVersion: baseVersion, author: author, reason: reason, dataCentre: dataCentre, inService: inService}
}

// ID returns the id of the change. It stays the same when the change is sent
// again.
func (c Change) ID() string { return c.id }

// BaseVersion returns the configuration version that the change is based on.
func (c Change) BaseVersion() uint64 { return c.baseVersion }

// Author returns who sends the change.
func (c Change) Author() string { return c.author }

// Reason returns why the change is made.
func (c Change) Reason() string { return c.reason }

// Document returns the new document, empty for a change of a data centre.
func (c Change) Document() string { return c.document }

// DataCentre returns the data centre and whether it shall be in service. The
// name is empty for a change of the document.
func (c Change) DataCentre() (name string, inService bool) { return c.dataCentre, c.inService }

// EncodeChange encodes a change as JSON.
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

// DecodeChange decodes a change from JSON. An empty change id is an error with
// the code MissingKey.
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
	o.ReportUnknownKeys()
	if c.id == "" && doc.Err() == nil {
		return c, result.New(result.MissingKey, "the key change-id must not be empty")
	}
	return c, doc.Err()
}

// Outcome is the response to a change.
type Outcome struct {
	code    result.Code
	version uint64
	message string
}

// NewOutcome returns the response to a change.
func NewOutcome(code result.Code, version uint64, message string) Outcome {
	return Outcome{code: code, version: version, message: message}
}

// Code returns ChangeAccepted or ChangeRepeated if the change was accepted now or
// earlier. Any other code is that of a refusal or an error.
func (o Outcome) Code() result.Code { return o.code }

// Version returns the configuration version that the change created, or the
// version that was active when the change was refused. For a repeated change
// and a reused change id it is the version in the first outcome of that id. It
// is 0 if the change failed with an error.
func (o Outcome) Version() uint64 { return o.version }

// Message returns an explanation for the operator.
func (o Outcome) Message() string { return o.message }

// EncodeOutcome encodes the response to a change as JSON.
func EncodeOutcome(o Outcome) ([]byte, error) {
	w := newObjectWriter()
	w.writeUint("result-code", uint64(o.code))
	w.writeString("result", o.code.String())
	w.writeUint("version", o.version)
	w.writeString("message", o.message)
	return w.finish()
}

// DecodeOutcome decodes the response to a change from JSON.
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

// EncodeAudit encodes the audit trail as JSON.
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

// DecodeAudit decodes the audit trail from JSON.
func DecodeAudit(text []byte) ([]audit.Record, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	var out []audit.Record
	for _, o := range doc.Root().Objects("attempts") {
		at, err := time.Parse(time.RFC3339Nano, o.String("at"))
		if err != nil {
			doc.AddFault(result.WrongType, o.Path()+"/at", "the value is not a time in RFC 3339 format", "write the time in RFC 3339 format")
		}
		out = append(out, audit.NewRecord(at, o.String("change-id"), o.String("author"), o.String("reason"),
			uint64(o.Int("base-version", 0, maxExactInt)), uint64(o.Int("version", 0, maxExactInt)),
			result.Code(o.Int("result-code", 0, 999)), o.Strings("changes")))
	}
	return out, doc.Err()
}

// objectWriter encodes a JSON object member by member. It keeps the first error
// and ignores later writes; finish returns that error.
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

// writeObjects writes an array of n objects under a key. The function element
// writes the members of the object with index i.
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

// finish ends the object and returns its text, or the first error.
func (w *objectWriter) finish() ([]byte, error) {
	w.writeToken(jsontext.EndObject)
	return w.buffer.Bytes(), w.err
}
