package keyed

import "strconv"

// Position is a place in a topic: the era of the platform's store, and the offset in it. The store
// begins a new era when it returns from an older copy, and gives offsets out again then. Positions
// are compared as numbers: all those of an era come before those of the next one, whatever their
// offsets.
type Position uint64

// offsetBits is the number of bits of a Position that hold the offset.
const offsetBits = 40

// MaxOffset is the greatest offset that a Position can have.
const MaxOffset = 1<<offsetBits - 1

// MaxEra is the greatest era that a Position can have.
const MaxEra = 1<<(64-offsetBits) - 1

// At returns the position of an offset, up to MaxOffset, in an era, up to MaxEra.
func At(era, offset uint64) Position { return Position(era<<offsetBits | offset) }

// Era returns the era; 0 if the platform does not state eras.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the offset in the era.
func (p Position) Offset() uint64 { return uint64(p) & MaxOffset }

// String returns the era and the offset.
func (p Position) String() string {
	return strconv.FormatUint(p.Era(), 10) + "/" + strconv.FormatUint(p.Offset(), 10)
}
