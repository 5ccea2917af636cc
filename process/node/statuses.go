package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
)

// errMalformedStatuses means that a peer's value is not a list of statuses in the
// expected format.
var errMalformedStatuses = errors.New("node: malformed statuses")

// minStatusBytes is the size of a status without its models.
const minStatusBytes = 4 + 8 + 2 + 2 + 2 + 4 + 1 + 1 + 1

// maxStatusesBytes bounds the statuses that a node sends in one value. A node that
// queries more engines sends another part of them each time.
const maxStatusesBytes = 512

// encodeStatuses encodes as many statuses as fit, in their order. It skips an engine
// with a model whose name or version is longer than 255 bytes.
func encodeStatuses(statuses []inventory.Status) []byte {
	var b []byte
	for _, s := range statuses {
		encoded, ok := encodeStatus(s)
		if !ok || len(b)+len(encoded) > maxStatusesBytes {
			continue
		}
		b = append(b, encoded...)
	}
	return b
}

func encodeStatus(s inventory.Status) ([]byte, bool) {
	b := binary.LittleEndian.AppendUint32(nil, uint32(cachenews.IDOf(s.Upstream)))
	b = binary.LittleEndian.AppendUint64(b, s.Incarnation)
	for _, n := range []int{s.Slots, s.Running, s.Queued} {
		b = binary.LittleEndian.AppendUint16(b, uint16(min(n, math.MaxUint16)))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(min(s.QueuedTokens, math.MaxUint32)))
	loading := byte(0)
	if s.Loading {
		loading = 1
	}
	b = append(b, loading, byte(min(s.Failures, math.MaxUint8)), byte(min(len(s.Models), math.MaxUint8)))
	for _, m := range s.Models[:min(len(s.Models), math.MaxUint8)] {
		for _, text := range []string{m.Model, m.Version} {
			if len(text) > math.MaxUint8 {
				return nil, false
			}
			b = append(append(b, byte(len(text))), text...)
		}
	}
	return b, true
}

// decodeStatuses decodes a peer's value. It skips engines that this node does not
// know yet.
func decodeStatuses(b []byte, names map[cachenews.UpstreamID]string) ([]inventory.Status, error) {
	var statuses []inventory.Status
	for len(b) > 0 {
		if len(b) < minStatusBytes {
			return nil, fmt.Errorf("%d bytes: %w", len(b), errMalformedStatuses)
		}
		name, known := names[cachenews.UpstreamID(binary.LittleEndian.Uint32(b))]
		s := inventory.Status{
			Upstream:     name,
			Incarnation:  binary.LittleEndian.Uint64(b[4:]),
			Slots:        int(binary.LittleEndian.Uint16(b[12:])),
			Running:      int(binary.LittleEndian.Uint16(b[14:])),
			Queued:       int(binary.LittleEndian.Uint16(b[16:])),
			QueuedTokens: int(binary.LittleEndian.Uint32(b[18:])),
			Loading:      b[22] != 0,
			Failures:     int(b[23]),
		}
		models := int(b[24])
		b = b[minStatusBytes:]
		var err error
		if s.Models, b, err = decodeModels(b, models); err != nil {
			return nil, err
		}
		if known {
			statuses = append(statuses, s)
		}
	}
	return statuses, nil
}

func decodeModels(b []byte, n int) ([]upstream.LoadedModel, []byte, error) {
	var models []upstream.LoadedModel
	for range n {
		var texts [2]string
		for i := range texts {
			if len(b) == 0 || len(b) < 1+int(b[0]) {
				return nil, nil, fmt.Errorf("%d bytes of a model: %w", len(b), errMalformedStatuses)
			}
			texts[i] = string(b[1 : 1+b[0]])
			b = b[1+b[0]:]
		}
		models = append(models, upstream.LoadedModel{Model: texts[0], Version: texts[1]})
	}
	return models, b, nil
}
