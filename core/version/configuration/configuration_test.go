package configuration_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// validDocument is a document without faults. Tests replace a part of it to
// cause a fault.
const validDocument = `{
  "format": 1, // the only supported format
  "operator": "test",
  "most-entry-vms": 3,
  "data-centres": [{"name": "dc-1", "region": "r"}, {"name": "dc-2", "region": "r", "in-service": false}],
  "services": [
    {
      "name": "s-1", "slots-per-leaf": 2, "connections-per-leaf": 25, "connection-cost-ms": 6,
      "cold-capacity-per-second": 30,
      "leafs": [{"name": "l-1", "data-centre": "dc-1", "address": "127.0.0.1:1001"}],
    },
  ],
  "queries": [{"name": "q-1", "deadline-ms": 260, "services": ["s-1"]}],
  "non-idempotent-requests": [{"name": "n-1", "deadline-ms": 1000, "service": "s-1"}],
}
`

// expectFault decodes an invalid document and checks the code, line and path
// of its first fault, and that it has a remedy.
func expectFault(t *testing.T, text string, code result.Code, line int, path string) {
	t.Helper()
	_, err := configuration.Decode([]byte(text))
	var faults *document.Faults
	assert.Assert(t, errors.As(err, &faults), "Decode reported no faults")
	first := faults.List()[0]
	assert.Equal(t, first.Code(), code, first.String())
	assert.Equal(t, first.Line(), line, first.String())
	assert.Equal(t, first.Path(), path, first.String())
	assert.Assert(t, first.Remedy() != "")
}

func TestDecodeReportsCodeAndLocation(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		code result.Code
		line int
		path string
	}{
		{"unknown key", `"operator"`, `"opperator": "x", "operator"`, result.UnknownKey, 3, "/opperator"},
		{"wrong type", `"most-entry-vms": 3`, `"most-entry-vms": "3"`, result.WrongType, 4, "/most-entry-vms"},
		{"fraction", `"most-entry-vms": 3`, `"most-entry-vms": 3.5`, result.WrongType, 4, "/most-entry-vms"},
		{"missing key", `"operator": "test",`, ``, result.MissingKey, 1, ""},
		{"leaf without a data centre", `"data-centre": "dc-1", `, ``, result.NoDataCentre, 10, "/services/0/leafs/0"},
		{"leaf in an undeclared data centre", `"data-centre": "dc-1"`, `"data-centre": "dc-9"`, result.NoDataCentre, 10, "/services/0/leafs/0/data-centre"},
		{"service without leafs", `[{"name": "l-1", "data-centre": "dc-1", "address": "127.0.0.1:1001"}]`, `[]`, result.ServiceWithoutLeafs, 10, "/services/0/leafs"},
		{"query without services", `["s-1"]`, `[]`, result.QueryWithoutServices, 13, "/queries/0/services"},
		{"query of an undeclared service", `["s-1"]`, `["s-2"]`, result.UnknownReference, 13, "/queries/0/services/0"},
		{"duplicate name", `"name": "dc-2"`, `"name": "dc-1"`, result.DuplicateName, 5, "/data-centres/1/name"},
		{"query and request with the same name", `"name": "n-1"`, `"name": "q-1"`, result.DuplicateName, 14, "/non-idempotent-requests/0/name"},
		{"limit of 0", `"slots-per-leaf": 2`, `"slots-per-leaf": 0`, result.LimitOutOfRange, 8, "/services/0/slots-per-leaf"},
		{"host name as an address", `127.0.0.1:1001`, `localhost:1001`, result.BadAddress, 10, "/services/0/leafs/0/address"},
		{"duplicate key", `"operator": "test"`, `"operator": "test", "operator": "test"`, result.DuplicateKey, 3, "/operator"},
		{"unknown format", `"format": 1`, `"format": 2`, result.UnknownFormat, 2, "/format"},
		{"invalid name", `"operator": "test"`, `"operator": "Test Oy"`, result.BadName, 3, "/operator"},
		{"object instead of a list", `"queries": [`, `"queries": {}, "x": [`, result.WrongType, 13, "/queries"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validDocument, tt.old))
			expectFault(t, strings.Replace(validDocument, tt.old, tt.new, 1), tt.code, tt.line, tt.path)
		})
	}
}

func TestDecodeRejectsTruncatedDocuments(t *testing.T) {
	whole := strings.TrimSpace(validDocument)
	for n := range len(whole) {
		_, err := configuration.Decode([]byte(whole[:n]))
		assert.Assert(t, err != nil, "a document cut to its first %d bytes was accepted", n)
		assert.Equal(t, result.CodeOf(err), result.Syntax)
	}
}

func TestDecodeListsAllFaults(t *testing.T) {
	text := strings.Replace(validDocument, `"slots-per-leaf": 2`, `"slots-per-leaf": 0`, 1)
	text = strings.Replace(text, `"deadline-ms": 260`, `"deadline-ms": -1`, 1)
	_, err := configuration.Decode([]byte(text))
	var faults *document.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.List()), 2)
}

func TestEncodeIsDeterministicAndRoundTrips(t *testing.T) {
	cfg, err := configuration.Decode([]byte(validDocument))
	assert.NilError(t, err)
	notes := configuration.Notes{}.With("service s-1", "First line.\nSecond line.")
	encoded := configuration.Encode(cfg, notes)
	assert.Assert(t, bytes.Equal(encoded, configuration.Encode(cfg, notes)))
	decoded, err := configuration.Decode(encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(configuration.Diff(cfg, decoded)), 0)
	assert.Assert(t, bytes.Contains(encoded, []byte("    // First line.\n    // Second line.\n")))
}

func TestDiffReportsChangedDataCentre(t *testing.T) {
	cfg, err := configuration.Decode([]byte(validDocument))
	assert.NilError(t, err)
	changed, ok := cfg.WithDataCentre("dc-1", false)
	assert.Assert(t, ok)
	differences := configuration.Diff(cfg, changed)
	assert.Equal(t, len(differences), 1)
	assert.Equal(t, differences[0].String(), "~ data-centre dc-1: region r, in service true -> region r, in service false")
	_, ok = cfg.WithDataCentre("dc-9", false)
	assert.Assert(t, !ok)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"services": [{"leafs": 1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := configuration.Decode(text)
		if err != nil {
			return
		}
		decoded, err := configuration.Decode(configuration.Encode(cfg, configuration.Notes{}))
		assert.NilError(t, err)
		assert.Equal(t, len(configuration.Diff(cfg, decoded)), 0)
	})
}

func ExampleDiff() {
	before := configuration.New("test", 3, []configuration.DataCentre{configuration.NewDataCentre("oulu-1", "pohjois-suomi", true)}, nil, nil, nil)
	after, _ := before.WithDataCentre("oulu-1", false)
	for _, d := range configuration.Diff(before, after) {
		fmt.Println(d)
	}
	// Output: ~ data-centre oulu-1: region pohjois-suomi, in service true -> region pohjois-suomi, in service false
}

func ExampleNewQuery() {
	q := configuration.NewQuery("suunnittelu", 260*time.Millisecond, []string{"suunnittelu-01", "suunnittelu-02"})
	fmt.Println(q.Name(), q.Deadline(), len(q.Services()))
	// Output: suunnittelu 260ms 2
}
