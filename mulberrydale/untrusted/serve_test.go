package untrusted

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against the same callers at the listeners of the serve command: those for
// callers, operators and peers.
func TestServeWithstandsUntrustedCallers(t *testing.T) {
	for _, tt := range []struct {
		name     string
		listener int
		kinds    []kind
	}{
		{"callers", 0, kinds()},
		{"operators", 1, kinds()},
		{"peers", 2, sessionKinds()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := freeAddresses(t, 3)
			s := startServer(t, "serve", fmt.Sprintf(`{"vm": "vm-1", "data-centre": "d-1", "cluster": "c", "callers-address": %q,
				"operators-address": %q, "peers-address": %q, "peers": [], "control-vms": ["vm-1"], "data-folder": %q,
				"log-level": "error", "memory-limit-mb": %d, "open-files-limit": %d}`, a[0], a[1], a[2], t.TempDir(), memoryMB, maxOpenFiles))
			// No query is declared, so an unknown path shows that callers are answered.
			request := ordinary{method: http.MethodGet, url: "http://" + a[0] + "/none", status: http.StatusNotFound}
			request.waitUntilAnswered(t)
			attack(t, s, a[tt.listener], request, tt.kinds...)
		})
	}
}
