// Package uuidtime parses UUIDv7 keys (RFC 9562), which contain their creation time.
package uuidtime

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Parse returns the canonical text of a UUIDv7 and its creation time with a
// resolution of 1 ms. It fails if text is no UUID or a UUID of another version.
func Parse(text string) (canonical string, createdAt time.Time, err error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return "", time.Time{}, fmt.Errorf("not a UUID: %w", err)
	}
	if id.Version() != 7 {
		return "", time.Time{}, fmt.Errorf("not a UUIDv7 but version %d", id.Version())
	}
	return id.String(), time.Unix(id.Time().UnixTime()), nil
}
