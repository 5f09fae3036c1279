package journal_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// writeJournal creates a journal with the records and returns the paths of its
// folder and file.
func writeJournal(t *testing.T, records ...string) (folder, file string) {
	t.Helper()
	folder = t.TempDir()
	j, _, err := journal.Open(folder)
	assert.NilError(t, err)
	for _, r := range records {
		assert.NilError(t, j.Append([][]byte{[]byte(r)}))
	}
	assert.NilError(t, j.Close())
	return folder, filepath.Join(folder, "journal")
}

// expectRecords opens the journal in a folder and checks its records.
func expectRecords(t *testing.T, folder string, want ...string) *journal.Journal {
	t.Helper()
	j, records, err := journal.Open(folder)
	assert.NilError(t, err)
	var got []string
	for _, r := range records {
		got = append(got, string(r))
	}
	assert.DeepEqual(t, got, want)
	return j
}

// A crash may tear the last record at any byte.
func TestOpenTruncatesTornTail(t *testing.T) {
	_, file := writeJournal(t, "first", "second")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	firstEnd := len(data) - 12 - len("second")
	for n := firstEnd; n < len(data); n++ {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "journal"), data[:n], 0o600))
		j := expectRecords(t, folder, "first")
		assert.NilError(t, j.Append([][]byte{[]byte("third")}))
		assert.NilError(t, j.Close())
		assert.NilError(t, expectRecords(t, folder, "first", "third").Close())
	}
}

// A damaged record before an intact one must not be truncated: the records after it
// were acknowledged.
func TestOpenRejectsDamagedRecord(t *testing.T) {
	folder, file := writeJournal(t, "first", "second", "third")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	damaged := bytes.Replace(data, []byte("second"), []byte("sec0nd"), 1)
	assert.NilError(t, os.WriteFile(file, damaged, 0o600))
	_, _, err = journal.Open(folder)
	assert.Equal(t, result.CodeOf(err), result.JournalDamaged)
}

func TestReplaceKeepsOnlyNewRecords(t *testing.T) {
	folder, _ := writeJournal(t, "first", "second")
	j := expectRecords(t, folder, "first", "second")
	assert.NilError(t, j.Replace([][]byte{[]byte("both")}))
	assert.NilError(t, j.Append([][]byte{[]byte("third")}))
	assert.NilError(t, j.Close())
	// A crash during Replace may leave an incomplete new journal, which Open must
	// not read.
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "journal.next"), []byte("half"), 0o600))
	assert.NilError(t, expectRecords(t, folder, "both", "third").Close())
}

// Open must not panic on any content, and a journal that it accepts must be
// writable.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "journal"), data, 0o600))
		j, _, err := journal.Open(folder)
		if err != nil {
			return
		}
		assert.NilError(t, j.Append([][]byte{[]byte("next")}))
		assert.NilError(t, j.Close())
	})
}

func Example() {
	folder, err := os.MkdirTemp("", "journal-")
	if err != nil {
		return
	}
	defer os.RemoveAll(folder)
	j, _, _ := journal.Open(folder)
	_ = j.Append([][]byte{[]byte("first"), []byte("second")})
	_ = j.Close()
	_, records, _ := journal.Open(folder)
	fmt.Println(len(records), string(records[1]))
	// Output: 2 second
}

// Writing the new journal fails on a full disk and is retried several times
// a second, so a failed attempt must leave no open file and no partial file.
func TestFailedReplaceLeavesNothingBehind(t *testing.T) {
	folder := t.TempDir()
	j, _, err := journal.Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{[]byte("one")}))
	next := filepath.Join(folder, "journal.next")
	// Replace writes through the link to /dev/full, where every write fails as on
	// a full disk.
	assert.NilError(t, os.Symlink("/dev/full", next))
	assert.Assert(t, j.Replace([][]byte{[]byte("two")}) != nil)
	fds, err := filepath.Glob("/proc/self/fd/*")
	assert.NilError(t, err)
	for _, fd := range fds {
		target, err := os.Readlink(fd)
		assert.Assert(t, err != nil || target != "/dev/full", "%s is still open", target)
	}
	_, err = os.Lstat(next)
	assert.Assert(t, os.IsNotExist(err))
	assert.NilError(t, j.Replace([][]byte{[]byte("three")}))
	assert.NilError(t, j.Close())
	_, records, err := journal.Open(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, [][]byte{[]byte("three")})
}

// A snapshot of many claims may be long. Whatever Append accepts, Open must read.
func TestLongRecordIsReadBack(t *testing.T) {
	folder := t.TempDir()
	j, _, err := journal.Open(folder)
	assert.NilError(t, err)
	long := make([]byte, 129<<20)
	assert.NilError(t, j.Append([][]byte{long}))
	assert.NilError(t, j.Close())
	j, records, err := journal.Open(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, len(records[0]), len(long))
	assert.NilError(t, j.Close())
}

// An empty record would be taken for damage when the journal is opened.
func TestAppendRefusesEmptyRecord(t *testing.T) {
	folder, _ := writeJournal(t, "first")
	j := expectRecords(t, folder, "first")
	err := j.Append([][]byte{[]byte("second"), nil})
	assert.Equal(t, result.CodeOf(err), result.RecordTooLarge, "%v", err)
	assert.NilError(t, j.Append([][]byte{[]byte("third")}))
	assert.NilError(t, j.Close())
	assert.NilError(t, expectRecords(t, folder, "first", "third").Close())
}
