// Package journal keeps records in a data folder: each with its length and
// a checksum, synced before anything that depends on it happens. A torn tail
// is cut at the start; damage in the middle is refused.
package journal

import (
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// journalName is the journal in its data folder.
	journalName = "journal"
	// tempName is a journal that is being written anew.
	tempName = "journal.next"
	// headerBytes is the length and the checksum in front of each record.
	headerBytes = 12
	// maxRecordBytes bounds a record.
	maxRecordBytes = 128 << 20
)

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	folder string
	file   *os.File
	size   int64
}

// Open opens the journal of a folder, made where it is missing, and returns
// the records that it holds.
func Open(folder string) (*Journal, [][]byte, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "data folder")
	}
	// A journal that was not finished before a crash is void.
	_ = os.Remove(filepath.Join(folder, tempName))
	file, err := os.OpenFile(filepath.Join(folder, journalName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "journal")
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "journal")
	}
	records, validLength, err := parseRecords(data)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{folder: folder, file: file, size: validLength}
	if err := j.truncateTail(int64(len(data))); err != nil {
		return nil, nil, err
	}
	return j, records, syncFolder(folder)
}

// parseRecords returns the whole records and the length that they take. A record that
// is short or has a wrong checksum at the very end was torn by a crash. One
// with whole records after it is damage: cutting there would forget what was
// acknowledged.
func parseRecords(data []byte) (records [][]byte, validLength int64, err error) {
	offset := 0
	for offset < len(data) {
		record, next, ok := parseRecord(data, offset)
		if !ok {
			if intactRecordFollows(data, offset) {
				return nil, 0, result.New(result.JournalDamaged,
					"the record at byte %d has a wrong checksum and whole records follow it; move the folder away and start the VM with an empty one, it will be repaired from the other voters", offset)
			}
			break
		}
		records = append(records, record)
		offset = next
	}
	return records, int64(offset), nil
}

func parseRecord(data []byte, offset int) (record []byte, next int, ok bool) {
	if len(data)-offset < headerBytes {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data[offset:]))
	sum := binary.BigEndian.Uint64(data[offset+4:])
	start := offset + headerBytes
	if length == 0 || length > maxRecordBytes || len(data)-start < length {
		return nil, 0, false
	}
	record = data[start : start+length]
	return record, start + length, xxhash.Sum64(record) == sum
}

// intactRecordFollows reports whether a whole record starts anywhere after a place. The
// checksum makes a chance match practically impossible.
func intactRecordFollows(data []byte, offset int) bool {
	for i := offset + 1; i+headerBytes < len(data); i++ {
		if _, _, ok := parseRecord(data, i); ok {
			return true
		}
	}
	return false
}

func (j *Journal) truncateTail(length int64) error {
	if length > j.size {
		if err := j.file.Truncate(j.size); err != nil {
			return result.Wrap(err, result.JournalUnusable, "cutting the torn tail")
		}
		if err := j.file.Sync(); err != nil {
			return result.Wrap(err, result.JournalUnusable, "cutting the torn tail")
		}
	}
	if _, err := j.file.Seek(j.size, io.SeekStart); err != nil {
		return result.Wrap(err, result.JournalUnusable, "journal")
	}
	return nil
}

// Append writes records and syncs them together. After an error the journal
// must not be used any more: nobody knows what is on the disk.
func (j *Journal) Append(records [][]byte) error {
	written, err := writeRecords(j.file, records)
	j.size += written
	return err
}

func writeRecords(file *os.File, records [][]byte) (int64, error) {
	var buffer []byte
	for _, r := range records {
		var header [headerBytes]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(r)))
		binary.BigEndian.PutUint64(header[4:], xxhash.Sum64(r))
		buffer = append(append(buffer, header[:]...), r...)
	}
	n, err := file.Write(buffer)
	if err != nil {
		return int64(n), result.Wrap(err, result.JournalUnusable, "writing")
	}
	if err := file.Sync(); err != nil {
		return int64(n), result.Wrap(err, result.JournalUnusable, "syncing")
	}
	return int64(n), nil
}

// Replace puts a new journal of the given records in place of the present
// one. A crash leaves either the old or the new one.
func (j *Journal) Replace(records [][]byte) error {
	path := filepath.Join(j.folder, tempName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return result.Wrap(err, result.JournalUnusable, "new journal")
	}
	size, err := writeRecords(file, records)
	if err == nil {
		if renameErr := os.Rename(path, filepath.Join(j.folder, journalName)); renameErr != nil {
			err = result.Wrap(renameErr, result.JournalUnusable, "new journal")
		}
	}
	if err != nil {
		// What was written takes room on a disk that may be full.
		_ = file.Close()
		_ = os.Remove(path)
		return err
	}
	if err := syncFolder(j.folder); err != nil {
		return err
	}
	old := j.file
	j.file = file
	j.size = size
	return old.Close()
}

// Close closes the journal.
func (j *Journal) Close() error { return j.file.Close() }

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return result.Wrap(err, result.FolderUnusable, "data folder")
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return result.Wrap(err, result.FolderUnusable, "data folder")
	}
	return nil
}
