package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/quota"
)

// A misspelt key would leave a bound at its default without notice.
func TestQuotaSettings(t *testing.T) {
	text := func(quotas string) []byte {
		return []byte(`{"vm": "v", "data-centre": "d", "seeds": [], "callers-address": "127.0.0.1:1", "readiness-address": "127.0.0.1:2", "targets-address": "127.0.0.1:3"` + quotas + `}`)
	}
	for _, tt := range []struct {
		quotas string
		want   quota.Settings
	}{
		{"", quota.DefaultSettings()},
		{`, "quotas": {"window-ms": 2000, "overage": 0.1, "slack": 20}`, quota.NewSettings(2*time.Second, 0.1, 20)},
	} {
		s, err := DecodeSettings(text(tt.quotas))
		assert.NilError(t, err)
		assert.Equal(t, s.Quotas(), tt.want)
	}
	for _, invalid := range []string{`, "quotas": {"window": 2000}`, `, "quotas": {"window-ms": 0}`, `, "quotas": {"slack": -1}`} {
		_, err := DecodeSettings(text(invalid))
		assert.Assert(t, err != nil, "%s", invalid)
	}
}
