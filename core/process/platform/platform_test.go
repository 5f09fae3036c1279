package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/platform"
)

func TestListMachines(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		leaving []bool
		wantErr bool
	}{
		{"empty", ``, nil, false},
		{"live and leaving", `{"machines": [{"name": "a"}, {"name": "b", "state": "leaving"}]}`, []bool{false, true}, false},
		{"truncated", `{"machines": [{"name"`, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, tt.text)
			}))
			defer server.Close()
			machines, err := platform.New(strings.TrimPrefix(server.URL, "http://")).ListMachines(context.Background())
			assert.Equal(t, err != nil, tt.wantErr)
			var leaving []bool
			for _, m := range machines {
				leaving = append(leaving, m.Leaving())
			}
			assert.DeepEqual(t, leaving, tt.leaving)
		})
	}
}
