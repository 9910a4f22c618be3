package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// storeFile is the name of the claims file in the data folder.
	storeFile = "claims.db"
	// storeFormat is the version of the file's format.
	storeFormat = 1
	storeMode   = 0o600
	folderMode  = 0o700
	// lockTimeout bounds the wait for the file lock of another process.
	lockTimeout   = 2 * time.Second
	checksumBytes = 8
)

var (
	bucketMeta       = []byte("meta")
	bucketRecords    = []byte("records")
	bucketTombstones = []byte("tombstones")

	keyFormat         = []byte("format")
	keyTableComplete  = []byte("opened")
	keyPeerHasGranted = []byte("used")
	keyHistory        = []byte("homes")

	allBuckets = [][]byte{bucketMeta, bucketRecords, bucketTombstones}
)

// Errors of opening or writing the claims file.
var (
	// ErrCorrupt reports a wrong checksum or an invalid entry.
	ErrCorrupt = errors.New("claims: file is corrupt")
	// ErrFormat reports a file of an unsupported format version.
	ErrFormat = errors.New("claims: file has an unsupported format version")
	// ErrStoreFailed reports that this or an earlier write failed, so that the file may lack changes.
	ErrStoreFailed = errors.New("claims: file cannot be written")
	errStoreClosed = errors.New("claims: file is closed")
)

// diskRecord is the stored form of a record and its key.
type diskRecord struct {
	Key    Key
	Record Record
}

// storeContent is the content of a claims file.
type storeContent struct {
	changes []change
	history keeperSetHistory
	// tableComplete is set if the keeper has been allowed to grant before, so that the table is complete.
	tableComplete bool
	// peerHasGranted is set if another keeper has reported earlier grants.
	peerHasGranted bool
}

// store persists a Table. Writes are committed in enqueue order, all pending ones in one transaction.
type store struct {
	db *bolt.DB

	mu      sync.Mutex
	pending []write
	failed  error
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// write is a set of changes that is committed atomically.
type write struct {
	changes        []change
	history        keeperSetHistory
	tableComplete  bool
	peerHasGranted bool
	result         chan error // buffered, receives exactly once
}

// openStore opens or creates the claims file in the folder and loads it.
func openStore(folder string) (opened *store, content storeContent, err error) {
	defer func() {
		// bbolt panics on inconsistent pages.
		if fault := recover(); fault != nil {
			opened, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, fault)
		}
	}()
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, storeContent{}, fmt.Errorf("claims: %w", err)
	}
	path := filepath.Join(folder, storeFile)
	db, err := bolt.Open(path, storeMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, storeContent{}, openError(err)
	}
	content, err = load(db)
	if err != nil {
		return nil, storeContent{}, errors.Join(err, db.Close())
	}
	s := &store{db: db, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s, content, nil
}

// openError wraps corruption errors of bbolt in ErrCorrupt.
func openError(err error) error {
	for _, damage := range []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch} {
		if errors.Is(err, damage) {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
	}
	return fmt.Errorf("claims: open %s: %w", storeFile, err)
}

// renameCorruptFile renames a corrupt file to keep it for inspection.
func renameCorruptFile(folder string, now time.Time) error {
	path := filepath.Join(folder, storeFile)
	return os.Rename(path, fmt.Sprintf("%s.damaged-%d", path, now.UnixNano()))
}

func load(db *bolt.DB) (storeContent, error) {
	content := storeContent{history: make(keeperSetHistory)}
	err := db.Update(func(tx *bolt.Tx) error {
		for _, name := range allBuckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return loadMeta(tx.Bucket(bucketMeta), &content)
	})
	if err != nil {
		return content, err
	}
	return content, db.View(func(tx *bolt.Tx) error { return loadTable(tx, &content) })
}

func loadMeta(meta *bolt.Bucket, content *storeContent) error {
	format := meta.Get(keyFormat)
	if format == nil {
		return meta.Put(keyFormat, []byte{storeFormat})
	}
	if !bytes.Equal(format, []byte{storeFormat}) {
		return ErrFormat
	}
	content.tableComplete = meta.Get(keyTableComplete) != nil
	content.peerHasGranted = meta.Get(keyPeerHasGranted) != nil
	if history := meta.Get(keyHistory); history != nil {
		return decodeWithChecksum(history, &content.history)
	}
	return nil
}

func loadTable(tx *bolt.Tx, content *storeContent) error {
	err := tx.Bucket(bucketRecords).ForEach(func(_, value []byte) error {
		var entry diskRecord
		if err := decodeWithChecksum(value, &entry); err != nil {
			return err
		}
		content.changes = append(content.changes, change{key: entry.Key, record: &entry.Record})
		return nil
	})
	if err != nil {
		return err
	}
	return tx.Bucket(bucketTombstones).ForEach(func(id, value []byte) error {
		var until time.Time
		if err := decodeWithChecksum(value, &until); err != nil {
			return err
		}
		content.changes = append(content.changes, change{tombstone: string(id), until: until})
		return nil
	})
}

// enqueue adds a write behind all earlier ones. The returned channel receives nil once the write is durable, or the
// error. Writes are ordered as enqueue is called.
func (s *store) enqueue(w write) <-chan error {
	w.result = make(chan error, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed != nil:
		w.result <- s.failed
	case s.closed:
		w.result <- errStoreClosed
	default:
		s.pending = append(s.pending, w)
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return w.result
}

// run commits pending writes until the store is closed.
func (s *store) run() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		failed := s.failed
		closed := s.closed
		s.mu.Unlock()
		s.commit(batch, failed)
		if closed {
			return
		}
	}
}

// commit writes a batch in one transaction. After a failure all later writes fail, since the file may lack changes
// that the table holds.
func (s *store) commit(batch []write, failed error) {
	if len(batch) == 0 {
		return
	}
	if failed == nil {
		if err := s.db.Update(func(tx *bolt.Tx) error { return writeAll(tx, batch) }); err != nil {
			failed = fmt.Errorf("%w: %w", ErrStoreFailed, err)
			s.mu.Lock()
			s.failed = failed
			s.mu.Unlock()
		}
	}
	for _, w := range batch {
		w.result <- failed
	}
}

func writeAll(tx *bolt.Tx, batch []write) error {
	for _, w := range batch {
		for _, c := range w.changes {
			if err := writeChange(tx, c); err != nil {
				return err
			}
		}
		if err := writeMeta(tx.Bucket(bucketMeta), w); err != nil {
			return err
		}
	}
	return nil
}

func writeMeta(meta *bolt.Bucket, w write) error {
	if w.tableComplete {
		if err := meta.Put(keyTableComplete, []byte{1}); err != nil {
			return err
		}
	}
	if w.peerHasGranted {
		if err := meta.Put(keyPeerHasGranted, []byte{1}); err != nil {
			return err
		}
	}
	if w.history == nil {
		return nil
	}
	sealed, err := encodeWithChecksum(w.history)
	if err != nil {
		return err
	}
	return meta.Put(keyHistory, sealed)
}

func writeChange(tx *bolt.Tx, c change) error {
	if c.tombstone != "" {
		return writeTombstone(tx.Bucket(bucketTombstones), c)
	}
	records := tx.Bucket(bucketRecords)
	if c.record == nil {
		return records.Delete(diskKey(c.key))
	}
	sealed, err := encodeWithChecksum(diskRecord{Key: c.key, Record: *c.record})
	if err != nil {
		return err
	}
	return records.Put(diskKey(c.key), sealed)
}

func writeTombstone(tombstones *bolt.Bucket, c change) error {
	if c.until.IsZero() {
		return tombstones.Delete([]byte(c.tombstone))
	}
	sealed, err := encodeWithChecksum(c.until)
	if err != nil {
		return err
	}
	return tombstones.Put([]byte(c.tombstone), sealed)
}

// close commits pending writes and closes the file.
func (s *store) close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
	return s.db.Close()
}

// diskKey returns the bucket key of a record: a hash, so that its length is fixed.
func diskKey(key Key) []byte {
	sum := sha256.Sum256([]byte(key.Caller + "\x00" + key.Pool + "\x00" + key.Key))
	return sum[:]
}

// encodeWithChecksum encodes a value with gob and prepends its checksum.
func encodeWithChecksum(value any) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, checksumBytes))
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, err
	}
	sealed := buffer.Bytes()
	binary.BigEndian.PutUint64(sealed, xxhash.Sum64(sealed[checksumBytes:]))
	return sealed, nil
}

// decodeWithChecksum verifies and decodes the output of encodeWithChecksum. It returns ErrCorrupt if either fails.
func decodeWithChecksum(sealed []byte, value any) error {
	if len(sealed) < checksumBytes {
		return ErrCorrupt
	}
	if binary.BigEndian.Uint64(sealed) != xxhash.Sum64(sealed[checksumBytes:]) {
		return ErrCorrupt
	}
	if err := gob.NewDecoder(bytes.NewReader(sealed[checksumBytes:])).Decode(value); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
