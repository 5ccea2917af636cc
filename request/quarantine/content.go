// Package quarantine finds out which request makes the upstreams that run it
// end, and keeps it from the others. An upstream's end cuts all that runs
// there, so that nobody can tell from one end whose fault it was; what was on
// the spot at several ends, and never got a whole answer, is kept back.
package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content is a digest of what makes two tries the same request: where it goes,
// whose it is and what it holds. A try's own id is no part of it, as callers come
// again under new ones. The zero value is that of no request.
type Content uint64

// ContentOf gives the digest of these parts, in their order.
func ContentOf(parts ...[]byte) Content {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, p := range parts {
		// With its length before it, no part can be read as the end of another.
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = d.Write(length[:]) // never fails
		_, _ = d.Write(p)
	}
	return Content(max(1, d.Sum64()))
}

// String is the digest as it stands in the log.
func (c Content) String() string { return strconv.FormatUint(uint64(c), 16) }
