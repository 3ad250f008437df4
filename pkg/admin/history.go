package admin

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Bounds of the history.
const (
	// MaxHistory is the number of versions kept per table.
	MaxHistory = 200
	// historySlots is the number of objects per table. The platform cannot
	// delete objects, so records reuse them; the slots above MaxHistory are for
	// edits whose outcome is open.
	historySlots = 256
	// indexAttempts bounds the retries of an index update that lost a race.
	indexAttempts = 20
)

// Record is one change in the history of a table.
type Record struct {
	// Seq numbers the edits of a table; it chooses the slot of the text.
	Seq int64 `json:"seq"`
	// Version of the table after the edit; 0 while the outcome is open.
	Version int64 `json:"version"`
	// Base is the version that was edited.
	Base int64     `json:"base"`
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	Why  string    `json:"why"`
	// TextHash identifies the text when the outcome is settled later.
	TextHash uint64 `json:"text_hash"`
}

// index lists the records of a table, oldest first.
type index struct {
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// slot is the header of a stored text; the compressed text follows it.
type slot struct {
	Record
	Table string `json:"table"`
}

func indexKey(table string) string { return platform.HistoryPrefix + table + "/index" }

func slotKey(table string, seq int64) string {
	return fmt.Sprintf("%s%s/%03d", platform.HistoryPrefix, table, seq%historySlots)
}

// settle gives the current version to the open record that made it, and drops
// open records of older versions: their puts can no longer take effect.
func (x *index) settle(current Table) {
	hash := xxhash.Sum64String(current.Text)
	known := slices.ContainsFunc(x.Records, func(r Record) bool { return r.Version == current.Version })
	kept := x.Records[:0]
	for _, r := range x.Records {
		if r.Version == 0 && r.Base < current.Version {
			if known || r.TextHash != hash {
				continue
			}
			known, r.Version = true, current.Version
		}
		kept = append(kept, r)
	}
	x.Records = kept
	x.trim()
}

// trim drops the oldest records above the bounds.
func (x *index) trim() {
	done := 0
	for _, r := range x.Records {
		if r.Version != 0 {
			done++
		}
	}
	x.Records = slices.DeleteFunc(x.Records, func(r Record) bool {
		if r.Version != 0 && done > MaxHistory {
			done--
			return true
		}
		return r.Seq <= x.Next-historySlots
	})
}

func (t *Tables) readIndex(ctx context.Context, table string) (index, int64, error) {
	o, err := t.Store.Get(ctx, indexKey(table))
	if errors.Is(err, platform.ErrNotFound) {
		return index{}, 0, nil
	}
	if err != nil {
		return index{}, 0, result.Wrap(err, result.PlatformDown, "read history of %s", table)
	}
	var x index
	if err := json.Unmarshal(o.Value, &x); err != nil {
		return index{}, 0, result.Wrap(err, result.Internal, "read history of %s", table)
	}
	return x, o.Version, nil
}

// updateIndex changes the index with a condition on its version and tries again
// when another update was faster.
func (t *Tables) updateIndex(ctx context.Context, table string, change func(*index)) error {
	for range indexAttempts {
		x, version, err := t.readIndex(ctx, table)
		if err != nil {
			return err
		}
		change(&x)
		value, err := json.Marshal(x)
		if err != nil {
			return result.Wrap(err, result.Internal, "encode history of %s", table)
		}
		_, err = platform.PutSettled(ctx, t.Store, indexKey(table), value, version)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && result.CodeOf(err) != result.UpdateUnsettled {
			return result.Wrap(err, result.PlatformDown, "store history of %s", table)
		}
	}
	return result.New(result.PlatformDown, "history of %s: lost %d races against other edits", table, indexAttempts)
}

// reserve stores the record and the text of an edit before its outcome is known,
// and returns the number of the record.
func (t *Tables) reserve(ctx context.Context, e Edit, current Table) (int64, error) {
	record := Record{Base: e.IfVersion, Who: e.Who, When: t.Clock().Round(0).UTC(), Why: e.Why, TextHash: xxhash.Sum64String(e.Text)}
	// An index update whose answer is lost may run twice; the record is then
	// found again by its content instead of being added twice.
	err := t.updateIndex(ctx, e.Table, func(x *index) {
		x.settle(current)
		for _, r := range x.Records {
			if r.Seq == record.Seq && r == record && r.Seq != 0 {
				return
			}
		}
		x.Next++
		record.Seq = x.Next
		x.Records = append(x.Records, record)
		x.trim()
	})
	if err != nil {
		return 0, err
	}
	return record.Seq, t.storeText(ctx, slot{record, e.Table}, e.Text)
}

func (t *Tables) storeText(ctx context.Context, header slot, text string) error {
	value, err := encodeSlot(header, text)
	if err != nil {
		return result.Wrap(err, result.Internal, "encode history of %s", header.Table)
	}
	key := slotKey(header.Table, header.Seq)
	old, err := t.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return result.Wrap(err, result.PlatformDown, "read history of %s", header.Table)
	}
	if _, err := platform.PutSettled(ctx, t.Store, key, value, old.Version); err != nil {
		if errors.Is(err, platform.ErrTooLarge) {
			return result.Wrap(err, result.ObjectTooLarge, "history of %s", header.Table)
		}
		return result.Wrap(err, result.PlatformDown, "store history of %s", header.Table)
	}
	return nil
}

// complete gives a record its version.
func (t *Tables) complete(ctx context.Context, table string, seq, version int64) error {
	return t.updateIndex(ctx, table, func(x *index) {
		for i := range x.Records {
			if x.Records[i].Seq == seq {
				x.Records[i].Version = version
			}
		}
	})
}

// History returns the changes of a table, newest first. Edits whose outcome is
// open are left out. The errors are those of Get.
func (t *Tables) History(ctx context.Context, table string) ([]Record, error) {
	current, err := t.Get(ctx, table)
	if err != nil {
		return nil, err
	}
	x, _, err := t.readIndex(ctx, table)
	if err != nil {
		return nil, err
	}
	x.settle(current)
	out := slices.DeleteFunc(x.Records, func(r Record) bool { return r.Version == 0 })
	slices.SortFunc(out, func(a, b Record) int { return int(b.Version - a.Version) })
	return out, nil
}

// HistoryAt returns one change with the text of the table after it. The error
// is a *result.Error with code TableNotFound or PlatformDown.
func (t *Tables) HistoryAt(ctx context.Context, table string, version int64) (Record, string, error) {
	records, err := t.History(ctx, table)
	if err != nil {
		return Record{}, "", err
	}
	i := slices.IndexFunc(records, func(r Record) bool { return r.Version == version })
	if i < 0 {
		return Record{}, "", result.New(result.TableNotFound, "table %s has no version %d in its history", table, version)
	}
	o, err := t.Store.Get(ctx, slotKey(table, records[i].Seq))
	if err != nil {
		return Record{}, "", result.Wrap(err, result.PlatformDown, "read history of %s", table)
	}
	header, text, err := decodeSlot(o.Value)
	if err != nil || header.Seq != records[i].Seq || xxhash.Sum64String(text) != records[i].TextHash {
		return Record{}, "", result.New(result.TableNotFound, "the text of version %d of table %s is no longer stored", version, table)
	}
	return records[i], text, nil
}

func encodeSlot(header slot, text string) ([]byte, error) {
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer(append(line, '\n'))
	w, err := flate.NewWriter(out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decodeSlot(value []byte) (slot, string, error) {
	line, compressed, ok := bytes.Cut(value, []byte{'\n'})
	if !ok {
		return slot{}, "", errors.New("no header")
	}
	var header slot
	if err := json.Unmarshal(line, &header); err != nil {
		return slot{}, "", err
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), platform.MaxValueBytes))
	return header, string(text), err
}
