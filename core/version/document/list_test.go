package document_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// An element that can't be read must not make the others unreadable: whoever wrote it
// would take all targets of the list out of use.
func TestUnreadableElementsAreSkipped(t *testing.T) {
	tests := []struct {
		name     string
		elements string
		want     []string
		invalid  int
	}{
		{"none", ` `, nil, 0},
		{"one", `{"id":"a"}`, []string{"a"}, 0},
		{"with commas and brackets in strings", `{"id":"a],[{"},{"id":"\"},{"}`, []string{"a],[{", `"},{`}, 0},
		{"with comments", `{"id":"a"}, // "one", [
			{"id":"b"} /* {"id":"c"}, " */, `, []string{"a", "b"}, 0},
		{"not an object", `{"id":"a"},[1,2],null,{"id":"b"}`, []string{"a", "b"}, 2},
		{"a duplicate key", `{"id":"a","id":"b"},{"id":"c"}`, []string{"c"}, 1},
		{"an empty element", `{"id":"a"},,{"id":"b"}`, []string{"a", "b"}, 1},
		{"brackets of two kinds", `{"id":"a"},{"x":],{"id":"b"}`, []string{"a", "b"}, 1},
		{"a list inside that has the same key", `{"id":"a","list":[{"id":"x"}]},{"id":"b"}`, []string{"a", "b"}, 0},
		{"nested as deep as allowed", `{"id":"a","x":` + strings.Repeat("[", 255) + strings.Repeat("]", 255) + `}`, []string{"a"}, 0},
		{"nested deeper", `{"id":"a","x":` + strings.Repeat("[", 256) + strings.Repeat("]", 256) + `},{"id":"b"}`, []string{"b"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := document.ParseList([]byte(`{"other":{"list":[7]},"list":[`+tt.elements+`],"after":"x"}`), "list")
			assert.NilError(t, err)
			var ids []string
			for _, o := range l.Elements() {
				ids = append(ids, o.String("id"))
			}
			assert.DeepEqual(t, ids, tt.want)
			assert.Equal(t, l.Invalid(), tt.invalid)
			assert.Equal(t, l.Root().String("after"), "x")
		})
	}
}

// An element with an odd number of quotes or brackets must not hide the elements behind it
// or the end of the list: whoever wrote it would take all targets out of use, or keep all VMs
// from following the list.
func TestUnreadableElementsHideNoOthers(t *testing.T) {
	odd := []string{
		`{"id":"i-odd,"service":"single","state":"ready"}`, // one quote is missing
		`{"id":"i-odd","service":"single`, `"`, `"x`, `\`, `'`, `@@`, "\x00", "\xff\xfe", "\xef\xbb\xbf",
		`{`, `[`, `}`, `]`, `{"x":[`, `{"x":]`, `{"x":]}`, `{"x":[1`, `{"x":{"y":1`, `[1`, `[[1]`, `[[1`, `{"x":1}}`, `{"x":1}]`, `[1]]`,
		`/*`, `//`, `/`, `*/`, `{"x":/*}`, `,`, `,,`, `:`, `{"x":1,}`, `{,}`, `{"x"}`, `{x:1}`, `01x`, `"a":1`,
		`{"x":"` + strings.Repeat("[", 300) + `}`, strings.Repeat("[", 300), strings.Repeat(`{"x":`, 300), strings.Repeat(`[0,{"x":`, 300),
	}
	for _, o := range odd {
		for _, text := range []string{
			`{"list":[` + o + `,{"id":"a"},{"id":"b"},{"id":"c"}],"next":"n"}`,
			`{"list":[{"id":"a"},` + o + `,{"id":"b"},{"id":"c"}],"next":"n"}`,
			`{"list":[{"id":"a"},{"id":"b"},{"id":"c"},` + o + `],"next":"n"}`,
			`{"next":"n","list":[` + o + `,{"id":"a"},` + o + `,{"id":"b"},{"id":"c"},` + o + `]}`,
			`{"list":[{"id":"a"},` + o + `,` + o + `,{"id":"b"},{"id":"c"}],"other":[1,{"id":"d"}],"next":"n"}`,
		} {
			l, err := document.ParsePlainList([]byte(text), "list")
			assert.NilError(t, err, text)
			assert.DeepEqual(t, readableIDs(l), []string{"a", "b", "c"})
			assert.Equal(t, l.Root().String("next"), "n", text)
			assert.Assert(t, l.Invalid() > 0, text)
		}
	}
}

// readableIDs returns the ids of the elements that have one.
func readableIDs(l document.List) []string {
	var ids []string
	for _, o := range l.Elements() {
		if o.Has("id") {
			ids = append(ids, o.String("id"))
		}
	}
	return ids
}

// A list whose only element can't be read has an end; such a page must not make the whole
// list unreadable.
func TestListsOfUnreadableElements(t *testing.T) {
	for _, text := range []string{`{"list":[{"x":]},1]}`, `{"list":["]}`, `{"list":[{"x":]}],"next":null}`, `{"list":[}]}`} {
		l, err := document.ParseList([]byte(text), "list")
		assert.NilError(t, err, text)
		assert.Equal(t, len(l.Elements()), 0, text)
		assert.Equal(t, l.Invalid(), 1, text)
	}
}

func TestParseListRejectsInvalidDocuments(t *testing.T) {
	for _, text := range []string{``, `[]`, `{`, `{}`, `{"list":3}`, `{"list":{}}`, `{"list":[}`, `{"list":[1`, `{"list":["}`, `{"list":[{"x":],1}`, `{"list":["]`, `{"list":[],"list":[]}`, `{"list":[],"a":1,"a":2}`, `{"l\u0069st":[1]}`, `{"a":"list",[1]}`} {
		_, err := document.ParseList([]byte(text), "list")
		assert.Assert(t, err != nil, text)
	}
}

// The parser recurses into nested values, and a stack that has grown too large ends the
// process. Brackets in strings and comments are not nested.
func TestValuesThatAreNestedTooDeepAreRejected(t *testing.T) {
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	tests := []struct {
		name, text string
		valid      bool
	}{
		{"as deep as allowed", `{"a":` + nested(255) + `}`, true},
		{"one deeper", `{"a":` + nested(256) + `}`, false},
		{"without an end", `{"a":` + strings.Repeat(`{"a":`, 5_000_000), false},
		{"behind a quote in a comment", `/*"*/{"a":` + nested(5_000_000) + `}`, false},
		{"behind a quote in a line of comment", "//\"\n{\"a\":" + nested(5_000_000) + `}`, false},
		{"behind an escaped quote", `{"b":"\"","a":` + nested(5_000_000) + `}`, false},
		{"in a string", `{"a":"` + strings.Repeat("[", 1000) + `"}`, true},
		{"in a comment", `{/*` + strings.Repeat("[", 1000) + `*/}`, true},
		{"side by side", `{"a":[` + strings.Repeat("[],", 1000) + `]}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := document.Parse([]byte(tt.text))
			if tt.valid {
				assert.NilError(t, err)
				return
			}
			var faults *document.Faults
			assert.Assert(t, errors.As(err, &faults))
			assert.Equal(t, faults.Code(), result.Syntax)
		})
	}
}

func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"list":[{"id":"a"},/*"*/3],"after":"x"}`))
	f.Add([]byte(`{"other":{"list":[7]},"list":[{"x":]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := document.ParseList(text, "list")
		if err != nil {
			return
		}
		// Whatever is a valid document as a whole has the same elements.
		whole, err := document.Parse(text)
		if err != nil {
			return
		}
		want := whole.Root().Objects("list")
		if whole.Err() == nil {
			assert.Equal(t, len(l.Elements()), len(want), fmt.Sprintf("%q", text))
		}
	})
}

// Every sound element must be found behind any bytes without a closing bracket. Such a
// bracket may end the list or close a list of its own, so that a sound element behind it is a
// part of something else.
func FuzzSoundElements(f *testing.F) {
	f.Add([]byte(`{"id":"i-odd,"service":"single"}`))
	f.Add([]byte(`{"x":[0`))
	f.Add([]byte(`"},{"x":"`))
	f.Add([]byte(`/*`))
	f.Fuzz(func(t *testing.T, odd []byte) {
		if bytes.ContainsRune(odd, ']') || len(odd) > 1<<10 {
			return
		}
		text := fmt.Sprintf(`{"list":[{"id":"a"},%s,{"id":"b"},%s,{"id":"c"}],"next":"n"}`, odd, odd)
		l, err := document.ParsePlainList([]byte(text), "list")
		assert.NilError(t, err, "%q", text)
		found := make(map[string]bool)
		for _, id := range readableIDs(l) {
			found[id] = true
		}
		assert.Assert(t, found["a"] && found["b"] && found["c"], "%q: %v", text, found)
		assert.Equal(t, l.Root().String("next"), "n")
	})
}

func ExampleParseList() {
	l, err := document.ParseList([]byte(`{"targets": [{"id": "i-1"}, {"id": oops}], "next": "p-2"}`), "targets")
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, o := range l.Elements() {
		fmt.Println(o.String("id"))
	}
	fmt.Println(l.Invalid(), l.Root().String("next"))
	// Output:
	// i-1
	// 1 p-2
}
