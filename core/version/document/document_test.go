package document_test

import (
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
