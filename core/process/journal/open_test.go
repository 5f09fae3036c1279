package journal

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// faultyDisk is a disk some of whose calls a test replaces.
type faultyDisk struct {
	systemDisk
	syncFile   func(file *os.File) error
	syncFolder func(folder string) error
}

func (d faultyDisk) Sync(file *os.File) error {
	if d.syncFile != nil {
		return d.syncFile(file)
	}
	return d.systemDisk.Sync(file)
}

func (d faultyDisk) SyncFolder(folder string) error {
	if d.syncFolder != nil {
		return d.syncFolder(folder)
	}
	return d.systemDisk.SyncFolder(folder)
}

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
	j, records, err := OpenOn(faultyDisk{syncFile: func(file *os.File) error {
		data, err := os.ReadFile(file.Name())
		assert.NilError(t, err)
		synced = append(synced, string(data[headerBytes:]))
		return file.Sync()
	}}, folder)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.DeepEqual(t, synced, []string{"written by a process that was killed"})
	assert.NilError(t, j.Close())

	_, records, err = OpenOn(faultyDisk{syncFile: func(*os.File) error { return os.ErrInvalid }}, folder)
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
	j, _, err = OpenOn(faultyDisk{syncFile: func(file *os.File) error {
		info, err := file.Stat()
		assert.NilError(t, err)
		length = info.Size()
		return nil
	}}, folder)
	assert.NilError(t, err)
	assert.Equal(t, length, int64(len(data)))
	assert.NilError(t, j.Close())
}
