package query

import (
	"bytes"
	"io"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// MaxRequestBytes is the maximum size of a request body.
	MaxRequestBytes = 256 << 10
	// MaxDeadline is the longest deadline that a caller may set.
	MaxDeadline = 10 * time.Minute
	// maxIDBytes is the maximum length of a request id.
	maxIDBytes = 128
)

// Undecoded returns the request for the named query whose body could not be read.
func Undecoded(name string) Request { return Request{name: name} }

// Decode decodes the body of a request for the named query. The body is a JSON
// object with the optional keys parameters (object), deadline-ms (whole number)
// and request-id (string). An empty or blank body is equivalent to an empty
// object. Errors have the code BadRequest, or DeadlineTooShort if the deadline
// is a number but out of range or not whole. The request that is returned with
// an error has the name and the values that were decoded before the error,
// including a request-id of invalid length.
func Decode(name string, data []byte) (Request, error) {
	if len(data) > MaxRequestBytes {
		return Undecoded(name), result.New(result.BadRequest, "the request body is larger than %d bytes", MaxRequestBytes)
	}
	request := Request{name: name, parameters: []byte("{}")}
	if len(bytes.TrimSpace(data)) == 0 {
		return request, nil
	}
	dec := jsontext.NewDecoder(bytes.NewReader(data))
	if dec.PeekKind() != '{' {
		return request, result.New(result.BadRequest, "the request body must be a JSON object")
	}
	if _, err := dec.ReadToken(); err != nil {
		return request, result.Wrap(err, result.BadRequest, "reading the request body")
	}
	for dec.PeekKind() == '"' {
		if err := request.decodeMember(dec); err != nil {
			return request, err
		}
	}
	if _, err := dec.ReadToken(); err != nil {
		return request, result.Wrap(err, result.BadRequest, "reading the request body")
	}
	if _, err := dec.ReadToken(); err != io.EOF {
		return request, result.New(result.BadRequest, "unexpected data after the JSON object in the request body")
	}
	return request, nil
}

func (r *Request) decodeMember(dec *jsontext.Decoder) error {
	key, err := dec.ReadToken()
	if err != nil {
		return result.Wrap(err, result.BadRequest, "reading a key of the request body")
	}
	name := key.String()
	value, err := dec.ReadValue()
	if err != nil {
		return result.Wrap(err, result.BadRequest, "reading the value of %s", name)
	}
	switch name {
	case "parameters":
		if value.Kind() != '{' {
			return result.New(result.BadRequest, "parameters must be a JSON object")
		}
		r.parameters = value.Clone()
	case "deadline-ms":
		return r.decodeDeadline(value)
	case "request-id":
		return r.decodeID(value)
	default:
		return result.New(result.BadRequest, "unknown key %q; expected parameters, deadline-ms or request-id", name)
	}
	return nil
}

func (r *Request) decodeDeadline(value jsontext.Value) error {
	if value.Kind() != '0' {
		return result.New(result.BadRequest, "deadline-ms must be a whole number")
	}
	token, err := jsontext.NewDecoder(bytes.NewReader(value)).ReadToken()
	if err != nil {
		return result.Wrap(err, result.BadRequest, "reading deadline-ms")
	}
	millis, err := token.Float()
	if err != nil || millis < 1 || millis > float64(MaxDeadline.Milliseconds()) || millis != float64(int64(millis)) {
		return result.New(result.DeadlineTooShort, "deadline-ms must be a whole number from 1 to %d", MaxDeadline.Milliseconds())
	}
	r.deadline = time.Duration(millis) * time.Millisecond
	return nil
}

func (r *Request) decodeID(value jsontext.Value) error {
	if value.Kind() != '"' {
		return result.New(result.BadRequest, "request-id must be a string")
	}
	token, err := jsontext.NewDecoder(bytes.NewReader(value)).ReadToken()
	if err != nil {
		return result.Wrap(err, result.BadRequest, "reading request-id")
	}
	r.id = token.String()
	if r.id == "" || len(r.id) > maxIDBytes {
		return result.New(result.BadRequest, "request-id must be 1 to %d bytes long", maxIDBytes)
	}
	return nil
}

// Encode writes the answer as a JSON object. Empty strings and a configuration
// version of 0 are omitted, and so are the coverage and the results if no
// service was asked.
func (a Answer) Encode(w io.Writer) error {
	enc := jsontext.NewEncoder(w)
	e := &encoder{enc: enc}
	e.token(jsontext.BeginObject)
	e.member("result-code", jsontext.Int(int64(a.code)))
	e.member("result", jsontext.String(a.code.String()))
	e.member("execution", jsontext.String(a.code.Execution().String()))
	e.optionalText("message", a.message)
	e.optionalText("request-id", a.id)
	e.optionalText("query", a.name)
	e.optionalText("vm", a.vm)
	if a.version > 0 {
		e.member("configuration-version", jsontext.Uint(a.version))
	}
	e.optionalText("snapshot", a.snapshot)
	if a.coverage.Asked() > 0 {
		e.coverageAndResults(a)
	}
	e.token(jsontext.EndObject)
	return e.err
}

// encoder wraps a jsontext.Encoder and keeps the first error, so that callers
// do not have to check one after each token.
type encoder struct {
	enc *jsontext.Encoder
	err error
}

func (e *encoder) token(t jsontext.Token) {
	if e.err == nil {
		e.err = e.enc.WriteToken(t)
	}
}

func (e *encoder) value(v jsontext.Value) {
	if e.err == nil {
		e.err = e.enc.WriteValue(v)
	}
}

func (e *encoder) member(key string, t jsontext.Token) {
	e.token(jsontext.String(key))
	e.token(t)
}

// optionalText writes a string member, unless the value is empty.
func (e *encoder) optionalText(key, value string) {
	if value != "" {
		e.member(key, jsontext.String(value))
	}
}

func (e *encoder) coverageAndResults(a Answer) {
	e.member("complete", jsontext.Bool(a.coverage.Complete()))
	e.member("services-asked", jsontext.Int(int64(a.coverage.Asked())))
	e.member("services-answered", jsontext.Int(int64(a.coverage.Answered())))
	e.token(jsontext.String("services-missing"))
	e.token(jsontext.BeginArray)
	for _, m := range a.coverage.Missing() {
		e.token(jsontext.BeginObject)
		e.member("service", jsontext.String(m.Service()))
		e.member("reason", jsontext.String(m.Reason().String()))
		e.token(jsontext.EndObject)
	}
	e.token(jsontext.EndArray)
	e.token(jsontext.String("results"))
	e.token(jsontext.BeginArray)
	for _, r := range a.results {
		e.token(jsontext.BeginObject)
		e.member("service", jsontext.String(r.service))
		e.token(jsontext.String("result"))
		e.value(r.value)
		e.token(jsontext.EndObject)
	}
	e.token(jsontext.EndArray)
}
