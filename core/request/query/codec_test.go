package query_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/coverage"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestDecode(t *testing.T) {
	tests := []struct {
		name string
		body string
		want result.Code
	}{
		{"empty", ``, result.Complete},
		{"all keys", `{"parameters": {"a": [1]}, "deadline-ms": 20, "request-id": "x"}`, result.Complete},
		{"not an object", `[]`, result.BadRequest},
		{"truncated", `{"parameters": {"a":`, result.BadRequest},
		{"data after the object", `{} {}`, result.BadRequest},
		{"unknown key", `{"deadline": 20}`, result.BadRequest},
		{"parameters of another type", `{"parameters": 1}`, result.BadRequest},
		{"deadline of 0", `{"deadline-ms": 0}`, result.DeadlineTooShort},
		{"deadline that is not whole", `{"deadline-ms": 1.5}`, result.DeadlineTooShort},
		{"deadline of another type", `{"deadline-ms": "5"}`, result.BadRequest},
		{"empty id", `{"request-id": ""}`, result.BadRequest},
		{"long id", `{"request-id": "` + strings.Repeat("x", 200) + `"}`, result.BadRequest},
		{"too large", `{"request-id": "` + strings.Repeat("x", query.MaxRequestBytes) + `"}`, result.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request, err := query.Decode("q", []byte(tt.body))
			assert.Equal(t, request.Name(), "q")
			if tt.want == result.Complete {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, result.CodeOf(err), tt.want)
		})
	}
}

func TestDecodeKeepsValues(t *testing.T) {
	request, err := query.Decode("q", []byte(`{"parameters": {"a": 1}, "deadline-ms": 20, "request-id": "x"}`))
	assert.NilError(t, err)
	assert.Equal(t, string(request.Parameters()), `{"a": 1}`)
	assert.Equal(t, request.Deadline(), 20*time.Millisecond)
	assert.Equal(t, request.ID(), "x")
}

// FuzzDecode checks that Decode does not panic on any body.
func FuzzDecode(f *testing.F) {
	f.Add(`{"parameters": {"a": [1]}, "deadline-ms": 20, "request-id": "x"}`)
	f.Fuzz(func(_ *testing.T, body string) { _, _ = query.Decode("q", []byte(body)) })
}

func ExampleAnswer_Encode() {
	request := query.NewRequest("tilaajat", "", nil, 0)
	covered := coverage.New(2, []coverage.Missing{coverage.NewMissing("tilaajat-02", coverage.Late)})
	results := []query.Result{query.NewResult("tilaajat-01", []byte(`["a"]`))}
	_ = query.NewAnswer(result.Partial, request, 3, "s1", covered, results).WithVM("entry-1").Encode(os.Stdout)
	// Output: {"result-code":101,"result":"partial","execution":"run","query":"tilaajat","vm":"entry-1","configuration-version":3,"snapshot":"s1","complete":false,"services-asked":2,"services-answered":1,"services-missing":[{"service":"tilaajat-02","reason":"late"}],"results":[{"service":"tilaajat-01","result":["a"]}]}
}
