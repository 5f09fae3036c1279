package document_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

func TestFaultsReportLineAndColumn(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		code   result.Code
		line   int
		column int
	}{
		{"empty", ``, result.Syntax, 1, 1},
		{"truncated string", "{\n  \"a\": \"x", result.Syntax, 2, 10},
		{"top-level value is not an object", `[1]`, result.WrongType, 1, 1},
		{"missing key", "\n{}", result.MissingKey, 2, 1},
		{"wrong type", "{\n  \"a\": true}", result.WrongType, 2, 8},
		{"unknown key", "{\"a\": \"x\",\n \"b\": 1}", result.UnknownKey, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var faults *document.Faults
			assert.Assert(t, errors.As(decodeStringKey(tt.text), &faults))
			first := faults.List()[0]
			assert.Equal(t, first.Code(), tt.code, first.String())
			assert.Equal(t, first.Line(), tt.line, first.String())
			assert.Equal(t, first.Column(), tt.column, first.String())
		})
	}
}

// decodeStringKey decodes a document whose only key is "a", a required string.
func decodeStringKey(text string) error {
	doc, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	o := doc.Root()
	o.String("a")
	o.ReportUnknownKeys()
	return doc.Err()
}

func Example() {
	doc, _ := document.Parse([]byte(`{
  "slots": 0, // too few
}`))
	root := doc.Root()
	root.Int("slots", 1, 100)
	root.ReportUnknownKeys()
	fmt.Println(doc.Err())
	// Output: 408 limit-out-of-range: line 2, column 12 (/slots): 0 is out of range; write a whole number from 1 to 100
}

// The operators of a platform whose configurations are JSON must not get an acknowledgement
// for a text that is none. Whatever ParsePlain accepts the standard library accepts, and the
// other way round but for duplicate keys, nesting and values that Parse rejects.
func TestPlainDocuments(t *testing.T) {
	tests := []struct {
		text  string
		plain bool
	}{
		{`{"a":[1,2]}`, true},
		{` {"a" : "// not a comment, /* nor this */"} `, true},
		{`{"a":1.5e+300,"b":123456789012345678901234567890}`, true},
		{`{"a":"\u0041"}`, true},
		{`{"a":1,}`, false},
		{`{"a":[1,2,]}`, false},
		{`{"a":1} // comment`, false},
		{`/* comment */{"a":1}`, false},
		{`{"a"/**/:1}`, false},
		{"\ufeff" + `{"a":1}`, false},
		{`{"a":01}`, false},
		{`{"a":1}{}`, false},
		{`{'a':1}`, false},
	}
	for _, tt := range tests {
		_, err := document.ParsePlain([]byte(tt.text))
		assert.Equal(t, err == nil, tt.plain, tt.text)
		assert.Equal(t, json.Valid([]byte(tt.text)), tt.plain, tt.text)
		if err != nil {
			assert.Equal(t, result.CodeOf(err), result.Syntax, tt.text)
		}
	}
}

func FuzzParsePlain(f *testing.F) {
	f.Add([]byte(`{"a":[1,"x",null]}`))
	f.Add([]byte(`{"a":1,}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := document.ParsePlain(text)
		_, commented := document.Parse(text)
		assert.Equal(t, err == nil, commented == nil && json.Valid(text), "%q", text)
	})
}
