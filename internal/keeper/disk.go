package keeper

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/covelink/covelink/coord/quorumlog"
)

const (
	databaseFile = "ledger.db"
	// corruptSuffix marks a database set aside because it could not be read; one is kept.
	corruptSuffix = ".corrupt"
	fileMode      = 0o600
	folderMode    = 0o700
	lockTimeout   = 2 * time.Second
	// allocation is the step in which the file grows, in bytes.
	allocation = 64 << 10
)

// format is the version of the layout that this code writes.
const format = 1

var (
	metaBucket = []byte("meta")
	logsBucket = []byte("logs")
	formatKey  = []byte("format")
)

// migrations bring a database from a format to the next one, within one transaction.
var migrations = map[uint32]func(*bbolt.Tx) error{}

// Disk keeps many logs in one database. It is safe for concurrent use, one caller for each log.
type Disk struct {
	db    *bbolt.DB
	limit int64
	// failed is of the committing goroutine: after a fault within a transaction the database is not written any more.
	failed bool
	// SetAside is true if an unreadable database was set aside, so that every log kept here is lost.
	SetAside bool

	updates chan *update
	closing chan struct{}
	ended   chan struct{}
}

// OpenDisk opens the database in a folder, which it creates, bounded to limit bytes. An unreadable database is set aside
// and an empty one is started. ErrFormat, ErrLocked, or an error of the file system.
func OpenDisk(folder string, limit int64) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	path := filepath.Join(folder, databaseFile)
	db, err := openDatabase(path, limit)
	setAside := errors.Is(err, quorumlog.ErrCorrupt)
	if setAside {
		if err := os.Rename(path, path+corruptSuffix); err != nil {
			return nil, fmt.Errorf("keeper: %w", err)
		}
		db, err = openDatabase(path, limit)
	}
	if err != nil {
		return nil, err
	}
	disk := &Disk{
		db: db, limit: limit, SetAside: setAside,
		updates: make(chan *update, maxGroup), closing: make(chan struct{}), ended: make(chan struct{}),
	}
	go disk.commitGroups()
	return disk, nil
}

// openDatabase opens and migrates a database. ErrCorrupt: it can't be read.
func openDatabase(path string, limit int64) (*bbolt.DB, error) {
	var db *bbolt.DB
	err := protect(func() (err error) {
		db, err = bbolt.Open(path, fileMode, &bbolt.Options{
			Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, MaxSize: int(limit),
		})
		return err
	})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%w: %w", quorumlog.ErrCorrupt, err)
	case err != nil:
		return nil, fmt.Errorf("keeper: open database: %w", err)
	}
	db.AllocSize = allocation
	err = protect(func() error { return prepare(db, path) })
	if err != nil {
		_ = protect(db.Close)
		return nil, err
	}
	return db, nil
}

// prepare refuses a file cut short, whose pages can't be read, and brings the format up to date.
func prepare(db *bbolt.DB, path string) error {
	return db.Update(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if info.Size() < tx.Size() {
			return fmt.Errorf("%w: file of %d bytes, not %d", quorumlog.ErrCorrupt, info.Size(), tx.Size())
		}
		if _, err := tx.CreateBucketIfNotExists(logsBucket); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		return migrate(tx, meta)
	})
}

func migrate(tx *bbolt.Tx, meta *bbolt.Bucket) error {
	stored := uint32(format)
	if value := meta.Get(formatKey); value != nil {
		if len(value) != 4 {
			return fmt.Errorf("%w: format", quorumlog.ErrCorrupt)
		}
		stored = binary.BigEndian.Uint32(value)
	}
	if stored > format {
		return fmt.Errorf("%w: %d, this is %d", ErrFormat, stored, format)
	}
	for ; stored < format; stored++ {
		step, ok := migrations[stored]
		if !ok {
			return fmt.Errorf("%w: format %d", quorumlog.ErrCorrupt, stored)
		}
		if err := step(tx); err != nil {
			return err
		}
	}
	return meta.Put(formatKey, binary.BigEndian.AppendUint32(nil, format))
}

// protect runs work on the database. A damaged file makes the library panic or the memory map fault: both become
// ErrCorrupt.
func protect(work func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: database: %v", quorumlog.ErrCorrupt, fault)
		}
	}()
	return work()
}

// Close ends the commits and closes the database.
func (d *Disk) Close() error {
	close(d.closing)
	<-d.ended
	return protect(d.db.Close)
}

// Names returns the logs kept.
func (d *Disk) Names() ([]string, error) {
	var names []string
	err := protect(func() error {
		return d.db.View(func(tx *bbolt.Tx) error {
			return tx.Bucket(logsBucket).ForEachBucket(func(name []byte) error {
				names = append(names, string(name))
				return nil
			})
		})
	})
	return names, err
}
