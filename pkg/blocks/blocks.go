// Package blocks encodes the map from client address blocks to sites as
// platform objects. A map that is too large for one object is split into chunks.
package blocks

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// maxChunkRows keeps the encoded rows of a chunk below platform.MaxValueBytes: a
// row takes at most 25 bytes. The rest of the object is left for the sites.
const maxChunkRows = 40_000

// Map assigns client address blocks to sites. The clients of a site are
// assigned to one failure domain.
type Map struct {
	Sites []lookup.Site
	Rows  []Row
}

// Row assigns a client address block to a site.
type Row struct {
	_ struct{} `cbor:",toarray"`
	// Prefix is a netip.Prefix in its binary form.
	Prefix []byte
	// Site is an index into the sites of the whole map, over all chunks.
	Site uint16
}

// chunk is the stored form of a part of a map. Encode puts all sites into the
// first chunk.
type chunk struct {
	Sites []lookup.Site `cbor:"1,keyasint,omitempty"`
	Rows  []Row         `cbor:"2,keyasint"`
}

// Parse reads lines of the form "PREFIX SITE DOMAIN" and ignores empty lines and
// lines that begin with "#". A malformed line is an error with code TableInvalid
// that names file and line.
func Parse(file string, r io.Reader) (*Map, error) {
	m := &Map{}
	siteIndex := map[string]uint16{}
	lines := bufio.NewScanner(r)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, result.New(result.TableInvalid, "%s:%d: want \"PREFIX SITE DOMAIN\"", file, lineNumber)
		}
		prefix, err := netip.ParsePrefix(fields[0])
		if err != nil {
			return nil, result.New(result.TableInvalid, "%s:%d: %q is not an address prefix", file, lineNumber, fields[0])
		}
		site, ok := siteIndex[fields[1]]
		if !ok {
			site = uint16(len(m.Sites))
			siteIndex[fields[1]] = site
			m.Sites = append(m.Sites, lookup.Site{Name: fields[1], Domain: fields[2]})
		}
		if m.Sites[site].Domain != fields[2] {
			return nil, result.New(result.TableInvalid, "%s:%d: site %q is in domain %q and %q", file, lineNumber, fields[1], m.Sites[site].Domain, fields[2])
		}
		m.Add(prefix, site)
	}
	return m, lines.Err()
}

// Add appends a row for the masked prefix.
func (m *Map) Add(prefix netip.Prefix, site uint16) {
	b, _ := prefix.Masked().MarshalBinary()
	m.Rows = append(m.Rows, Row{Prefix: b, Site: site})
}

// Encode returns the platform objects of the map, with keys in the order of the
// chunks and without versions.
func Encode(m *Map) ([]platform.Object, error) {
	var out []platform.Object
	for start := 0; start == 0 || start < len(m.Rows); start += maxChunkRows {
		c := chunk{Rows: m.Rows[start:min(start+maxChunkRows, len(m.Rows))]}
		if start == 0 {
			c.Sites = m.Sites
		}
		b, err := cbor.Marshal(c)
		if err != nil {
			return nil, result.Wrap(err, result.Internal, "encode client blocks")
		}
		out = append(out, platform.Object{Key: fmt.Sprintf("%s%03d", platform.BlocksPrefix, len(out)), Value: b})
	}
	return out, nil
}

// Decode returns the sites and the look-up table of the objects, which must be in
// key order. A malformed row or chunk is an error with code TableInvalid.
func Decode(objects []platform.Object) ([]lookup.Site, *lookup.Blocks, error) {
	var sites []lookup.Site
	table := &lookup.Blocks{}
	for _, o := range objects {
		var c chunk
		if err := cbor.Unmarshal(o.Value, &c); err != nil {
			return nil, nil, result.Wrap(err, result.TableInvalid, "object %s", o.Key)
		}
		sites = append(sites, c.Sites...)
		for i, r := range c.Rows {
			var p netip.Prefix
			if err := p.UnmarshalBinary(r.Prefix); err != nil || !p.IsValid() {
				return nil, nil, result.New(result.TableInvalid, "object %s: row %d: malformed prefix", o.Key, i)
			}
			if int(r.Site) >= len(sites) {
				return nil, nil, result.New(result.TableInvalid, "object %s: row %d: site %d does not exist", o.Key, i, r.Site)
			}
			table.Insert(p, r.Site)
		}
	}
	return sites, table, nil
}
