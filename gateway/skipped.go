package gateway

import (
	"strings"

	"github.com/go-logr/logr"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

const (
	// maxSkippedLines is the number of entries that are logged at once. Of further ones, only the number is.
	maxSkippedLines = 20
	// maxLoggedName and maxLoggedCause are the numbers of bytes of a name and a cause that are logged. Both may hold what
	// another writer has written.
	maxLoggedName  = 100
	maxLoggedCause = 200
)

// skipped are entries of the store that are not used, by name. Those without a readable name count as one.
type skipped map[string]skippedEntry

type skippedEntry struct {
	revision core.Revision
	cause    string
	count    int
}

// add adds an entry.
func (s *skipped) add(it mirror.Item, cause string) {
	if *s == nil {
		*s = skipped{}
	}
	(*s)[it.Name] = skippedEntry{revision: it.Revision, cause: cause, count: (*s)[it.Name].count + 1}
}

// replace replaces the entries by those of now, and logs the ones that are new or have changed.
func (s *skipped) replace(log logr.Logger, c Collection, now skipped) {
	lines, more := 0, 0
	for name, e := range now {
		if e == (*s)[name] {
			continue
		}
		if lines++; lines > maxSkippedLines {
			more++
			continue
		}
		log.Info("entry skipped", "collection", c.String(), "name", shorten(name, maxLoggedName), "revision", e.revision, "cause", shorten(e.cause, maxLoggedCause), "count", e.count)
	}
	if more > 0 {
		log.Info("more entries skipped", "collection", c.String(), "count", more)
	}
	*s = now
}

// shorten returns the beginning of a text, without parts of characters.
func shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// identified returns the items of an update of which it is known which object they are. It logs the others of a list.
func (g *Gateway) identified(u update) []mirror.Item {
	items := make([]mirror.Item, 0, len(u.items))
	var odd skipped
	for _, it := range u.items {
		if it.Identified() {
			items = append(items, it)
		} else {
			odd.add(it, it.Unreadable)
		}
	}
	if u.list && u.source == "store" {
		g.unidentified[u.collection].replace(g.log, u.collection, odd)
	}
	return items
}
