package journal

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// If the folder can't be synced after the rename, the new file has the name of the
// journal. Records must go there: those appended to the old file, which has no name
// any more, would be lost when the process restarts.
func TestAppendsAfterFailedFolderSyncReachTheNewJournal(t *testing.T) {
	folder := t.TempDir()
	j, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{[]byte("old")}))
	j.disk = faultyDisk{syncFolder: func(string) error { return result.New(result.FolderUnusable, "the disk is gone") }}
	err = j.Replace([][]byte{[]byte("new")})
	assert.Equal(t, result.CodeOf(err), result.FolderUnusable, "%v", err)
	j.disk = systemDisk{}
	assert.NilError(t, j.Append([][]byte{[]byte("later")}))
	assert.NilError(t, j.Close())
	j, records, err := Open(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, [][]byte{[]byte("new"), []byte("later")})
	assert.NilError(t, j.Close())
}
