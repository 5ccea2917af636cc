package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

// errMalformedSummary means that a peer's value is not a summary in this
// format.
var errMalformedSummary = errors.New("policy: malformed placement summary")

// Sizes in bytes of the parts of an encoded summary. A value on the heartbeats
// is limited to member.MaxBlobBytes; JSON would take four times as many bytes.
const (
	headerBytes   = 8 + 1 + 1
	inFlightBytes = 4 + 2 + 4
	hotBytes      = 8 + 4
	// paceBytes come last, and only if the engines of the group do not state
	// their rate.
	paceBytes = 4 + 1
	// maxInFlight limits the upstreams in a value, those with the most prompt
	// tokens first; the remaining space is for hot levels.
	maxInFlight = 60
	// maxHotLevels limits the hot levels in a value; the levels beyond it are
	// cool.
	maxHotLevels = 16
)

// GroupID returns the id of a group of engines for messages between nodes.
func GroupID(g catalogue.Group) uint64 {
	return xxhash.Sum64String(g.Pool + "\x00" + g.Model)
}

// EncodeSummary encodes as much of a summary as fits into one published value.
func EncodeSummary(g catalogue.Group, s placement.Summary) []byte {
	inFlight := s.InFlight[:min(len(s.InFlight), maxInFlight)]
	hotLimit := (member.MaxBlobBytes - headerBytes - paceBytes - len(inFlight)*inFlightBytes) / hotBytes
	hot := s.HotLevels[:min(len(s.HotLevels), hotLimit, maxHotLevels)]
	b := binary.LittleEndian.AppendUint64(nil, GroupID(g))
	b = append(b, byte(len(inFlight)), byte(len(hot)))
	for _, f := range inFlight {
		b = binary.LittleEndian.AppendUint32(b, uint32(cachenews.IDOf(f.Upstream)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(f.Requests, math.MaxUint16)))
		b = binary.LittleEndian.AppendUint32(b, uint32(min(f.Tokens, math.MaxUint32)))
	}
	for _, h := range hot {
		b = binary.LittleEndian.AppendUint64(b, h.Level)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(h.Rate)))
	}
	return appendPace(b, s.Pace())
}

func appendPace(b []byte, p placement.Pace) []byte {
	if p.Answers == 0 {
		return b
	}
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(p.Rate)))
	return append(b, byte(min(p.Answers, math.MaxUint8)))
}

// decodePace decodes the bytes after the entries. An invalid rate counts as
// not reported.
func decodePace(b []byte) placement.Pace {
	if len(b) < paceBytes {
		return placement.Pace{}
	}
	rate := float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
	if !(rate > 0 && rate < math.MaxFloat32) {
		return placement.Pace{}
	}
	return placement.Pace{Rate: rate, Answers: int(b[4])}
}

// DecodeSummary decodes a peer's value. It omits upstreams that this node does
// not know yet.
func DecodeSummary(b []byte, names UpstreamNames) (group uint64, s placement.Summary, err error) {
	if len(b) < headerBytes {
		return 0, s, fmt.Errorf("%d bytes: %w", len(b), errMalformedSummary)
	}
	group = binary.LittleEndian.Uint64(b)
	inFlight, hot := int(b[8]), int(b[9])
	b = b[headerBytes:]
	if rest := len(b) - inFlight*inFlightBytes - hot*hotBytes; rest != 0 && rest != paceBytes {
		return 0, s, fmt.Errorf("%d bytes for %d and %d entries: %w", len(b), inFlight, hot, errMalformedSummary)
	}
	for range inFlight {
		if name, ok := names[cachenews.UpstreamID(binary.LittleEndian.Uint32(b))]; ok {
			s.InFlight = append(s.InFlight, placement.InFlight{
				Upstream: name,
				Requests: int(binary.LittleEndian.Uint16(b[4:])),
				Tokens:   int(binary.LittleEndian.Uint32(b[6:])),
			})
		}
		b = b[inFlightBytes:]
	}
	for range hot {
		s.HotLevels = append(s.HotLevels, placement.HotLevel{
			Level: binary.LittleEndian.Uint64(b),
			Rate:  float64(math.Float32frombits(binary.LittleEndian.Uint32(b[8:]))),
		})
		b = b[hotBytes:]
	}
	return group, s.WithPace(decodePace(b)), nil
}
