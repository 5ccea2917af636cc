package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

var errMalformed = errors.New("journal: malformed batch")

// wireBatch is a Batch as the log holds it. Claims and outcomes are packed in
// rows: with a name for each field of each of them, names would take most of
// the bytes that every reader has to read. A later version that needs more
// adds a field here; older nodes skip it.
type wireBatch struct {
	Stamp    int64
	Seen     platform.Offset
	Appender Writer   `json:",omitzero"`
	Writers  []Writer `json:",omitempty"`
	// Claims has per claim: the place of its writer in Writers, its sequence,
	// its age (Stamp less KeyTime), and the hashes of key and request.
	Claims []byte `json:",omitempty"`
	// Outcomes has per outcome: writer, sequence and age as in Claims, the
	// outcome, the status, and the hash of the key.
	Outcomes []byte `json:",omitempty"`
}

// writerTable gives each writer of a batch its place.
type writerTable struct {
	writers []Writer
	places  map[Writer]uint64
}

func (t *writerTable) place(w Writer) uint64 {
	n, ok := t.places[w]
	if !ok {
		n = uint64(len(t.writers))
		t.places[w] = n
		t.writers = append(t.writers, w)
	}
	return n
}

func (b Batch) encode() ([]byte, error) {
	w := wireBatch{Stamp: b.Stamp, Seen: b.Seen, Appender: b.Appender}
	t := writerTable{places: map[Writer]uint64{}}
	for _, c := range b.Claims {
		w.Claims = b.appendHead(w.Claims, &t, c.ID, c.KeyTime)
		w.Claims = append(w.Claims, c.Key[:]...)
		w.Claims = append(w.Claims, c.Request[:]...)
	}
	for _, o := range b.Outcomes {
		w.Outcomes = b.appendHead(w.Outcomes, &t, o.ID, o.KeyTime)
		w.Outcomes = binary.AppendUvarint(w.Outcomes, uint64(o.Outcome))
		w.Outcomes = binary.AppendVarint(w.Outcomes, int64(o.Status))
		w.Outcomes = append(w.Outcomes, o.Key[:]...)
	}
	w.Writers = t.writers
	return json.Marshal(w)
}

func (b Batch) appendHead(row []byte, t *writerTable, id ClaimID, keyTime int64) []byte {
	row = binary.AppendUvarint(row, t.place(id.Writer))
	row = binary.AppendUvarint(row, id.Sequence)
	return binary.AppendVarint(row, b.Stamp-keyTime)
}

func decodeBatch(body []byte) (Batch, error) {
	var w wireBatch
	if err := json.Unmarshal(body, &w); err != nil {
		return Batch{}, fmt.Errorf("journal: decode batch: %w", err)
	}
	b := Batch{Stamp: w.Stamp, Seen: w.Seen, Appender: w.Appender}
	claims := rowReader{Reader: bytes.NewReader(w.Claims), batch: &w}
	for claims.more() {
		c := ClaimRecord{}
		c.ID, c.KeyTime = claims.head()
		claims.hash(c.Key[:])
		claims.hash(c.Request[:])
		b.Claims = append(b.Claims, c)
	}
	outcomes := rowReader{Reader: bytes.NewReader(w.Outcomes), batch: &w}
	for outcomes.more() {
		o := OutcomeRecord{}
		o.ID, o.KeyTime = outcomes.head()
		o.Outcome = Outcome(outcomes.uvarint())
		o.Status = int(outcomes.varint())
		outcomes.hash(o.Key[:])
		b.Outcomes = append(b.Outcomes, o)
	}
	if err := errors.Join(claims.err, outcomes.err); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// rowReader unpacks rows. After the first error it gives zeroes.
type rowReader struct {
	*bytes.Reader
	batch *wireBatch
	err   error
}

func (r *rowReader) more() bool { return r.err == nil && r.Len() > 0 }

func (r *rowReader) fail(err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %w", errMalformed, err)
	}
}

func (r *rowReader) uvarint() uint64 {
	n, err := binary.ReadUvarint(r)
	r.fail(err)
	return n
}

func (r *rowReader) varint() int64 {
	n, err := binary.ReadVarint(r)
	r.fail(err)
	return n
}

func (r *rowReader) hash(h []byte) {
	_, err := io.ReadFull(r, h)
	r.fail(err)
}

func (r *rowReader) head() (id ClaimID, keyTime int64) {
	place := r.uvarint()
	id.Sequence = r.uvarint()
	keyTime = r.batch.Stamp - r.varint()
	if place >= uint64(len(r.batch.Writers)) {
		r.fail(fmt.Errorf("writer %d of %d", place, len(r.batch.Writers)))
		return id, keyTime
	}
	id.Writer = r.batch.Writers[place]
	return id, keyTime
}

// incarnationBase is the base in which an incarnation is written.
const incarnationBase = 36

// String gives the node's name and, behind the last slash, the incarnation.
func (w Writer) String() string {
	return w.Node + "/" + strconv.FormatUint(w.Incarnation, incarnationBase)
}

// MarshalText gives what String gives.
func (w Writer) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText reads what MarshalText gives.
func (w *Writer) UnmarshalText(text []byte) error {
	s := string(text)
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return fmt.Errorf("%w: writer %q has no incarnation", errMalformed, s)
	}
	n, err := strconv.ParseUint(s[i+1:], incarnationBase, 64)
	if err != nil {
		return fmt.Errorf("%w: writer %q: %w", errMalformed, s, err)
	}
	w.Node, w.Incarnation = s[:i], n
	return nil
}
