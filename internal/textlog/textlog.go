// Package textlog keeps the texts of unfinished batch items on a local disk, so that they outlive the processes that make them.
//
// What is read back is a hint: it may be older than what was made, or missing. Guarantees: a text that is read back was appended
// in this form, without gaps, by some earlier process with the same folder, and the log takes no more than its limit.
package textlog

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/covelink/covelink/internal/itemwork"
)

const (
	filePrefix = "texts-"
	fileSuffix = ".log"
	fileMode   = 0o600
	folderMode = 0o700
	// headerSize is that of a record's header: length and checksum of its payload.
	headerSize = 8
	// maxRecordBytes bounds the payload that is read back: a length beyond it is damage.
	maxRecordBytes = 64 << 20
)

// ErrFull reports records that would take the log beyond its limit. Rewrite makes room.
var ErrFull = errors.New("textlog: full")

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Entry is what was added to the text of an item.
type Entry struct {
	Item string
	// Model is the one whose weights make the text.
	Model string
	// From is the number of events that the text had before; an entry from zero starts it anew.
	From int
	// Start is the number of the entry from zero that this one continues, or its own. A process numbers them without repeats, so that an entry does
	// not continue the text of another run that happens to have as many events.
	Start    uint64
	Segments []itemwork.Segment
	// LastID is the ID of the text's last event.
	LastID int64
	// Whole is true if the text is complete.
	Whole bool
}

// Log appends to the newest file of a folder. It is not safe for concurrent use.
type Log struct {
	folder string
	limit  int64
	number int
	file   *os.File
	size   int64
}

// Open starts a new file in a folder, which it creates. The files of earlier processes stay until Rewrite. The log takes up to the
// limit, in bytes, and twice that while it is rewritten.
func Open(folder string, limit int64) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("textlog: %w", err)
	}
	numbers, err := fileNumbers(folder)
	if err != nil {
		return nil, err
	}
	l := &Log{folder: folder, limit: limit}
	if len(numbers) > 0 {
		l.number = numbers[len(numbers)-1]
	}
	return l, l.startFile()
}

// startFile makes the next file the one that is appended to.
func (l *Log) startFile() error {
	file, err := os.OpenFile(l.path(l.number+1), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("textlog: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.number++
	l.file, l.size = file, 0
	return nil
}

func (l *Log) path(number int) string { return filePath(l.folder, number) }

func filePath(folder string, number int) string {
	return filepath.Join(folder, fmt.Sprintf("%s%08d%s", filePrefix, number, fileSuffix))
}

// Append adds a record of entries and syncs it. ErrFull if it does not fit.
func (l *Log) Append(entries []Entry) error {
	record, err := encode(entries)
	if err != nil {
		return err
	}
	if l.size+int64(len(record)) > l.limit {
		return ErrFull
	}
	written, err := l.file.Write(record)
	l.size += int64(written)
	if err != nil {
		return fmt.Errorf("textlog: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("textlog: %w", err)
	}
	return nil
}

// Rewrite makes the log hold only these entries, which start texts anew, and removes the files before.
func (l *Log) Rewrite(entries []Entry) error {
	if err := l.startFile(); err != nil {
		return err
	}
	if err := l.Append(entries); err != nil {
		return err
	}
	numbers, err := fileNumbers(l.folder)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number == l.number {
			continue
		}
		if err := os.Remove(l.path(number)); err != nil {
			return fmt.Errorf("textlog: %w", err)
		}
	}
	return nil
}

// Size is the size of the file that is appended to, in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log's file.
func (l *Log) Close() error { return l.file.Close() }

// encode returns a record: length, checksum and payload.
func encode(entries []Entry) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerSize))
	if err := gob.NewEncoder(&buffer).Encode(entries); err != nil {
		return nil, fmt.Errorf("textlog: %w", err)
	}
	record := buffer.Bytes()
	payload := record[headerSize:]
	binary.BigEndian.PutUint32(record[0:4], uint32(len(payload)))
	binary.BigEndian.PutUint32(record[4:8], crc32.Checksum(payload, checksums))
	return record, nil
}

// fileNumbers returns the numbers of the log's files in a folder, in order. Other files are left alone.
func fileNumbers(folder string) ([]int, error) {
	found, err := os.ReadDir(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("textlog: %w", err)
	}
	var numbers []int
	for _, entry := range found {
		name, isLog := strings.CutPrefix(entry.Name(), filePrefix)
		if !isLog || !strings.HasSuffix(name, fileSuffix) {
			continue
		}
		var number int
		if _, err := fmt.Sscanf(name, "%08d"+fileSuffix, &number); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// Text is the text of an item as it was read back.
type Text struct {
	itemwork.Text
	// Model is the one whose weights made it.
	Model string
}

// Restored is what was read back of a folder.
type Restored struct {
	// Texts are the texts by item.
	Texts map[string]Text
	// Records is the number of records that were read, and Damaged that of files that end in the middle of one, or in one whose
	// checksum does not hold.
	Records, Damaged int
	// starts are the starts of the texts by item.
	starts map[string]uint64
}

// Read returns the texts that are kept in a folder. Of a damaged file it returns what comes before the damage.
func Read(folder string) (Restored, error) {
	restored := Restored{Texts: make(map[string]Text), starts: make(map[string]uint64)}
	numbers, err := fileNumbers(folder)
	if err != nil {
		return restored, err
	}
	for _, number := range numbers {
		if err := restored.readFile(filePath(folder, number)); err != nil {
			return restored, err
		}
	}
	return restored, nil
}

func (r *Restored) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("textlog: %w", err)
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	for {
		entries, err := decode(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			r.Damaged++
			return nil
		}
		r.Records++
		for _, entry := range entries {
			r.take(entry)
		}
	}
}

// errDamaged reports a record that is not as it was written.
var errDamaged = errors.New("textlog: damaged record")

// decode reads the next record. io.EOF at the end, errDamaged if there is none where one should be.
func decode(reader io.Reader) ([]Entry, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); errors.Is(err, io.EOF) {
		return nil, io.EOF
	} else if err != nil {
		return nil, errDamaged
	}
	length := binary.BigEndian.Uint32(header[0:4])
	if length == 0 || length > maxRecordBytes {
		return nil, errDamaged
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, errDamaged
	}
	if crc32.Checksum(payload, checksums) != binary.BigEndian.Uint32(header[4:8]) {
		return nil, errDamaged
	}
	var entries []Entry
	if err := gob.NewDecoder(bytes.NewReader(payload)).Decode(&entries); err != nil {
		return nil, errDamaged
	}
	return entries, nil
}

// take adds an entry to its text. One that does not continue it makes the text unknown: part of it is missing, or it is of another run.
func (r *Restored) take(entry Entry) {
	text := r.Texts[entry.Item]
	if entry.From == 0 {
		text = Text{Model: entry.Model}
		r.starts[entry.Item] = entry.Start
	}
	if entry.From != text.Len() || entry.Start != r.starts[entry.Item] || text.Whole {
		delete(r.Texts, entry.Item)
		return
	}
	text.Merge(&itemwork.Report{From: entry.From, Segments: entry.Segments, LastID: entry.LastID})
	text.Whole = entry.Whole
	r.Texts[entry.Item] = text
}
