package settings_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
)

const validSettings = `{
  "vm": "entry-1", "data-centre": "oulu-1", "cluster": "jakelutupa",
  "callers-address": "127.0.0.1:9001",
  "operators-address": "127.0.0.1:9101",
  "peers-address": "127.0.0.1:9201",
  "peers": [{"vm": "entry-2", "address": "127.0.0.1:9202"}],
  "control-vms": ["entry-1"], // one, three or five
  "data-folder": "/var/lib/mulberrydale",
  "memory-limit-mb": 184, "open-files-limit": 4100,
}`

func TestDecode(t *testing.T) {
	s, err := settings.Decode([]byte(validSettings))
	assert.NilError(t, err)
	assert.Assert(t, s.IsControl())
	assert.Equal(t, s.BalancerLag(), 2*time.Second)
	assert.Equal(t, s.MemoryBytes(), int64(184<<20))
	assert.Equal(t, s.MaxOpenFiles(), 4100)
	assert.Equal(t, s.Peers()["entry-2"], "127.0.0.1:9202")
}

func TestDecodeRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		code result.Code
	}{
		{"unknown key", `"vm"`, `"vn": "", "vm"`, result.UnknownKey},
		{"callers-address with a host name", `127.0.0.1:9001`, `localhost:9001`, result.BadAddress},
		{"unknown control VM", `["entry-1"]`, `["entry-9"]`, result.UnknownReference},
		{"no control VM", `["entry-1"]`, `[]`, result.MissingKey},
		{"control VM without a disk", `"data-folder": "/var/lib/mulberrydale",`, ``, result.MissingKey},
		{"unknown log level", `"vm"`, `"log-level": "loud", "vm"`, result.WrongType},
		{"balancer lag below 0", `"vm"`, `"balancer-lag-ms": -1, "vm"`, result.LimitOutOfRange},
		{"truncated", `"/var/lib/mulberrydale",
  "memory-limit-mb": 184, "open-files-limit": 4100,
}`, `"/var`, result.Syntax},
		{"no memory", `"memory-limit-mb": 184`, `"memory-limit-mb": -1`, result.LimitOutOfRange},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSettings, tt.old))
			_, err := settings.Decode([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			assert.Assert(t, err != nil)
			assert.Equal(t, result.CodeOf(err), tt.code, err.Error())
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = settings.Decode(text) })
}
