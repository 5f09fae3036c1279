// Package journal stores records in a file in a data folder. Each record has
// a header with its length and checksum, and is synced before Append returns.
// Open truncates a record at the end that was torn by a crash; a damaged record
// before intact ones is an error. The records that Open returns are synced too.
package journal

import (
	"encoding/binary"
	"io"
	"math"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// journalName is the name of the journal file in the data folder.
	journalName = "journal"
	// tempName is the name of the new file while Replace writes it.
	tempName = "journal.next"
	// headerBytes is the size of the header of a record: its length in 4 bytes
	// and its checksum in 8, both big-endian.
	headerBytes = 12
	// maxRecordBytes is the longest record, the greatest length that a header can
	// hold.
	maxRecordBytes = math.MaxUint32
)

// Disk is what a journal writes with. Any of its methods may fail while the disk is full.
type Disk interface {
	// Write writes at the position of a file.
	Write(file *os.File, data []byte) (int, error)
	// Sync syncs a file.
	Sync(file *os.File) error
	// Rename replaces a file by another one.
	Rename(from, to string) error
	// SyncFolder syncs the entries of a folder.
	SyncFolder(folder string) error
}

// systemDisk is the disk of the operating system.
type systemDisk struct{}

// SystemDisk returns the disk of the operating system.
func SystemDisk() Disk { return systemDisk{} }

func (systemDisk) Write(file *os.File, data []byte) (int, error) { return file.Write(data) }
func (systemDisk) Sync(file *os.File) error                      { return file.Sync() }
func (systemDisk) Rename(from, to string) error                  { return os.Rename(from, to) }
func (systemDisk) SyncFolder(folder string) error                { return syncFolder(folder) }

// Journal is an open journal file. It is not safe for concurrent use.
type Journal struct {
	folder string
	file   *os.File
	size   int64
	disk   Disk
}

// Open opens the journal in a folder and returns its records. The folder and the
// file are created if they are missing. The error is JournalDamaged if a damaged
// record precedes intact ones, FolderUnusable if the folder or the file can't be
// opened or read or the folder can't be synced, and JournalUnusable if a torn record
// can't be truncated, the file can't be synced or the write position can't be set.
func Open(folder string) (*Journal, [][]byte, error) {
	return OpenOn(SystemDisk(), folder)
}

// OpenOn is Open for a journal that writes with a disk.
func OpenOn(disk Disk, folder string) (*Journal, [][]byte, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "failed to create the data folder")
	}
	// A file that Replace had not renamed before a crash may be incomplete.
	_ = os.Remove(filepath.Join(folder, tempName))
	file, err := os.OpenFile(filepath.Join(folder, journalName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "failed to open the journal")
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, nil, result.Wrap(err, result.FolderUnusable, "failed to read the journal")
	}
	records, validLength, err := parseRecords(data)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{folder: folder, file: file, size: validLength, disk: disk}
	if err := j.truncateTail(int64(len(data))); err != nil {
		return nil, nil, err
	}
	// A process that was killed between a write and its sync leaves records that a
	// loss of power takes away. Whoever acknowledges them now must have synced them.
	if err := disk.Sync(file); err != nil {
		return nil, nil, result.Wrap(err, result.JournalUnusable, "failed to sync the records of an earlier process")
	}
	return j, records, disk.SyncFolder(folder)
}

// parseRecords returns the intact records and their total length with headers. It
// stops at the first record that is incomplete or has a wrong length or checksum.
// If no intact record follows, a crash interrupted the write of that record. If one
// follows, the error is JournalDamaged, because truncating the journal there would
// lose acknowledged records.
func parseRecords(data []byte) (records [][]byte, validLength int64, err error) {
	offset := 0
	for offset < len(data) {
		record, next, ok := parseRecord(data, offset)
		if !ok {
			if intactRecordFollows(data, offset) {
				return nil, 0, result.New(result.JournalDamaged,
					"the record at byte %d has a wrong length or checksum and intact records follow it; move the data folder away and start this VM with an empty one, which is restored from the other voters", offset)
			}
			break
		}
		records = append(records, record)
		offset = next
	}
	return records, int64(offset), nil
}

// parseRecord returns the record whose header starts at an offset, and the offset
// after it. ok is false if the record is incomplete or its length or checksum is
// wrong.
func parseRecord(data []byte, offset int) (record []byte, next int, ok bool) {
	if len(data)-offset < headerBytes {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data[offset:]))
	sum := binary.BigEndian.Uint64(data[offset+4:])
	start := offset + headerBytes
	if length == 0 || len(data)-start < length {
		return nil, 0, false
	}
	record = data[start : start+length]
	return record, start + length, xxhash.Sum64(record) == sum
}

// intactRecordFollows reports whether an intact record starts at any byte after an
// offset. The 64-bit checksum makes a false match practically impossible.
func intactRecordFollows(data []byte, offset int) bool {
	for i := offset + 1; i+headerBytes < len(data); i++ {
		if _, _, ok := parseRecord(data, i); ok {
			return true
		}
	}
	return false
}

// truncateTail removes the bytes after the intact records, without a sync, and moves
// the write position to the end of these records. length is the current length of the
// file.
func (j *Journal) truncateTail(length int64) error {
	if length > j.size {
		if err := j.file.Truncate(j.size); err != nil {
			return result.Wrap(err, result.JournalUnusable, "failed to truncate the torn record at the end of the journal")
		}
	}
	if _, err := j.file.Seek(j.size, io.SeekStart); err != nil {
		return result.Wrap(err, result.JournalUnusable, "failed to seek to the end of the journal")
	}
	return nil
}

// Append writes records with one write and one sync. Each must have between 1 and
// maxRecordBytes bytes; the error is RecordTooLarge, and nothing is written, if one
// has another length, which Open would take for damage. The error is
// JournalUnusable if the write or the sync fails. It is then not known which of the
// records are on disk, and nothing more may be appended before Replace has
// succeeded.
func (j *Journal) Append(records [][]byte) error {
	written, err := writeRecords(j.disk, j.file, records)
	j.size += written
	return err
}

// writeRecords writes records with their headers to a file, syncs it and returns
// the number of bytes written.
func writeRecords(disk Disk, file *os.File, records [][]byte) (int64, error) {
	var buffer []byte
	for _, r := range records {
		if len(r) == 0 || len(r) > maxRecordBytes {
			return 0, result.New(result.RecordTooLarge, "a journal record has %d bytes, expected 1 to %d", len(r), maxRecordBytes)
		}
		var header [headerBytes]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(r)))
		binary.BigEndian.PutUint64(header[4:], xxhash.Sum64(r))
		buffer = append(append(buffer, header[:]...), r...)
	}
	n, err := disk.Write(file, buffer)
	if err != nil {
		return int64(n), result.Wrap(err, result.JournalUnusable, "failed to write records to the journal file")
	}
	if err := disk.Sync(file); err != nil {
		return int64(n), result.Wrap(err, result.JournalUnusable, "failed to sync the journal file")
	}
	return int64(n), nil
}

// Replace atomically replaces the journal with a new one of the given records: after
// a crash, the folder has either the complete old journal or the complete new one.
// The error is JournalUnusable if the new file can't be created, written, synced or
// renamed, and FolderUnusable if the folder can't be synced. In the latter case the
// new journal is in use, because the old one no longer has a name, but a loss of
// power may still bring the old one back. Nothing more may be appended before another
// call of Replace has succeeded.
func (j *Journal) Replace(records [][]byte) error {
	path := filepath.Join(j.folder, tempName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return result.Wrap(err, result.JournalUnusable, "failed to create the new journal")
	}
	size, err := writeRecords(j.disk, file, records)
	if err == nil {
		if renameErr := j.disk.Rename(path, filepath.Join(j.folder, journalName)); renameErr != nil {
			err = result.Wrap(renameErr, result.JournalUnusable, "failed to rename the new journal")
		}
	}
	if err != nil {
		// The disk may be full, so the space of the partial file is freed.
		_ = file.Close()
		_ = os.Remove(path)
		return err
	}
	// Nothing is written to the old file any more, so an error of Close loses nothing.
	_ = j.file.Close()
	j.file = file
	j.size = size
	return j.disk.SyncFolder(j.folder)
}

// Close closes the journal file.
func (j *Journal) Close() error { return j.file.Close() }

// syncFolder syncs the entries of a folder, so that new and renamed files in it
// persist.
func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return result.Wrap(err, result.FolderUnusable, "failed to open the data folder")
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return result.Wrap(err, result.FolderUnusable, "failed to sync the data folder")
	}
	return nil
}
