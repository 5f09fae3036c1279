package untrusted

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a signal that ends a process which is starting: it has not read its settings
// yet, for which the test makes it wait.
func TestSignalBeforeTheSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(program, "route", "--settings", path)
	assert.NilError(t, cmd.Start())
	// Opening a pipe blocks until the process opens it, too.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("{}")
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	err = cmd.Wait()
	exit, ok := err.(*exec.ExitError)
	assert.Assert(t, ok, "%v", err)
	assert.Assert(t, exit.Exited(), "the process was ended by a signal: %v", err)
}
