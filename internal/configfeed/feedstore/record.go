package feedstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// checksumBytes is the size of the checksum that precedes a record, in bytes.
const checksumBytes = 8

// checkRecords returns an error unless every record matches its checksum. A log without a bucket is valid.
func checkRecords(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(_, value []byte) error {
		_, err := verifyChecksum(value)
		return err
	})
}

// verifyChecksum returns the record that follows the checksum in a value, or an error if the two do not match.
func verifyChecksum(value []byte) ([]byte, error) {
	if len(value) < checksumBytes || binary.BigEndian.Uint64(value) != xxhash.Sum64(value[checksumBytes:]) {
		return nil, fmt.Errorf("%w: a record does not match its checksum", errDamaged)
	}
	return value[checksumBytes:], nil
}

// putRecord writes a record as JSON, preceded by its checksum.
func putRecord(bucket *bbolt.Bucket, key []byte, record any) error {
	text, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encoding a record: %w", err)
	}
	value := make([]byte, 0, checksumBytes+len(text))
	value = binary.BigEndian.AppendUint64(value, xxhash.Sum64(text))
	return bucket.Put(key, append(value, text...))
}

// decodeRecord verifies the checksum of a stored value and decodes it into the value that record points to.
func decodeRecord(value []byte, record any) error {
	text, err := verifyChecksum(value)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, record); err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	return nil
}
