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

// wireBatch is a Batch as stored in the log. Claims and outcomes are packed
// into rows: field names repeated for each of them would take most of the
// bytes that every reader has to read. A later version that needs more data
// adds a field here, which older nodes skip.
type wireBatch struct {
	Stamp    int64
	Seen     platform.Offset
	Appender Writer   `json:",omitzero"`
	Writers  []Writer `json:",omitempty"`
	// Claims holds for each claim: the index of its writer in Writers, its
	// sequence, its age (Stamp minus KeyTime, in milliseconds), and the
	// hashes of key and request.
	Claims []byte `json:",omitempty"`
	// Outcomes holds for each outcome: writer, sequence and age as in Claims,
	// the outcome, the status, and the hash of the key.
	Outcomes []byte `json:",omitempty"`
}

// writerTable assigns an index to each writer of a batch.
type writerTable struct {
	writers []Writer
	indexes map[Writer]uint64
}

func (t *writerTable) index(w Writer) uint64 {
	n, ok := t.indexes[w]
	if !ok {
		n = uint64(len(t.writers))
		t.indexes[w] = n
		t.writers = append(t.writers, w)
	}
	return n
}

func (b Batch) encode() ([]byte, error) {
	w := wireBatch{Stamp: b.Stamp, Seen: b.Seen, Appender: b.Appender}
	t := writerTable{indexes: map[Writer]uint64{}}
	for _, c := range b.Claims {
		w.Claims = b.appendRowHeader(w.Claims, &t, c.ID, c.KeyTime)
		w.Claims = append(w.Claims, c.Key[:]...)
		w.Claims = append(w.Claims, c.Request[:]...)
	}
	for _, o := range b.Outcomes {
		w.Outcomes = b.appendRowHeader(w.Outcomes, &t, o.ID, o.KeyTime)
		w.Outcomes = binary.AppendUvarint(w.Outcomes, uint64(o.Outcome))
		w.Outcomes = binary.AppendVarint(w.Outcomes, int64(o.Status))
		w.Outcomes = append(w.Outcomes, o.Key[:]...)
	}
	w.Writers = t.writers
	return json.Marshal(w)
}

func (b Batch) appendRowHeader(row []byte, t *writerTable, id ClaimID, keyTime int64) []byte {
	row = binary.AppendUvarint(row, t.index(id.Writer))
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
		c.ID, c.KeyTime = claims.rowHeader()
		claims.hash(c.Key[:])
		claims.hash(c.Request[:])
		b.Claims = append(b.Claims, c)
	}
	outcomes := rowReader{Reader: bytes.NewReader(w.Outcomes), batch: &w}
	for outcomes.more() {
		o := OutcomeRecord{}
		o.ID, o.KeyTime = outcomes.rowHeader()
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

// rowReader unpacks rows. It keeps the first error, after which its results
// are meaningless.
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

func (r *rowReader) rowHeader() (id ClaimID, keyTime int64) {
	index := r.uvarint()
	id.Sequence = r.uvarint()
	keyTime = r.batch.Stamp - r.varint()
	if index >= uint64(len(r.batch.Writers)) {
		r.fail(fmt.Errorf("writer %d of %d", index, len(r.batch.Writers)))
		return id, keyTime
	}
	id.Writer = r.batch.Writers[index]
	return id, keyTime
}

// incarnationBase is the number base in which an incarnation is written.
const incarnationBase = 36

// String returns the node's name and, after the last slash, the incarnation.
func (w Writer) String() string {
	return w.Node + "/" + strconv.FormatUint(w.Incarnation, incarnationBase)
}

// MarshalText returns the text of String.
func (w Writer) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText parses the text of MarshalText.
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
