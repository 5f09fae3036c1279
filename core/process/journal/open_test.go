package journal

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// A process that is killed after it has written a record, and before it has synced it,
// leaves it in the file, where the next process finds it. A loss of power would still take
// it away, so that no replica may acknowledge it before it is synced.
func TestOpenSyncsTheRecordsOfAKilledProcess(t *testing.T) {
	folder := t.TempDir()
	j, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{[]byte("written by a process that was killed")}))
	assert.NilError(t, j.Close())

	var synced []string
	j, records, err := open(folder, func(file *os.File) error {
		data, err := os.ReadFile(file.Name())
		assert.NilError(t, err)
		synced = append(synced, string(data[headerBytes:]))
		return file.Sync()
	})
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.DeepEqual(t, synced, []string{"written by a process that was killed"})
	assert.NilError(t, j.Close())

	_, records, err = open(folder, func(*os.File) error { return os.ErrInvalid })
	assert.Equal(t, result.CodeOf(err), result.JournalUnusable, "%v", err)
	assert.Equal(t, len(records), 0, "records that could not be synced were returned")
}

// The bytes of a torn record are gone before the file is synced.
func TestOpenSyncsTheTruncatedFile(t *testing.T) {
	folder := t.TempDir()
	j, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{[]byte("whole")}))
	assert.NilError(t, j.Close())
	path := filepath.Join(folder, journalName)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, append(data, "torn"...), 0o600))
	var length int64
	j, _, err = open(folder, func(file *os.File) error {
		info, err := file.Stat()
		assert.NilError(t, err)
		length = info.Size()
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, length, int64(len(data)))
	assert.NilError(t, j.Close())
}
