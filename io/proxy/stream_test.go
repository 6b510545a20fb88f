package proxy

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against events that are joined, cut or taken as incomplete because of the ends of their lines.
func TestScanEvents(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       scannedEvents
		err        error
	}{
		{"empty", "", scannedEvents{lastID: "4"}, nil},
		{"LF", "id: 5\ndata: a\n\nid: 6\n", scannedEvents{length: 15, numbered: 1, lastID: "5"}, nil},
		{"CRLF", "id: 5\r\ndata: a\r\n\r\nid: 6\r\n", scannedEvents{length: 18, numbered: 1, lastID: "5"}, nil},
		{"CR", "id: 5\rdata: a\r\rid: 6\r", scannedEvents{length: 15, numbered: 1, lastID: "5"}, nil},
		{"LF before CRLF", "id: 5\ndata: a\n\r\nid: 6\n", scannedEvents{length: 16, numbered: 1, lastID: "5"}, nil},
		{"CRLF before LF", "id: 5\r\ndata: a\r\n\nid: 6\n", scannedEvents{length: 17, numbered: 1, lastID: "5"}, nil},
		{"inside a separator", "id: 5\r\ndata: a\r\n\r", scannedEvents{lastID: "4"}, nil},
		{"two events", "id: 5\ndata: a\n\nid: 6\ndata: b\n\n", scannedEvents{length: 30, numbered: 2, lastID: "6"}, nil},
		{"without an id", "data: a\n\nid: 5\n\n", scannedEvents{length: 16, numbered: 1, unnumbered: 1, lastID: "5"}, nil},
		{"comment", ": a\n\n", scannedEvents{length: 5, lastID: "4"}, nil},
		{"id in a comment", ": id: 7\r\r", scannedEvents{length: 9, lastID: "4"}, nil},
		{"comment in an event", ": a\rdata: b\r\r", scannedEvents{length: 13, unnumbered: 1, lastID: "4"}, nil},
		{"gap", "id: 5\n\nid: 7\n\n", scannedEvents{length: 7, numbered: 1, lastID: "5"}, errEventOrder},
		{"repeated", "id: 4\r\r", scannedEvents{lastID: "4"}, errEventOrder},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := scanEvents([]byte(c.body), "4", false)
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
			} else {
				g.Expect(err).ToNot(HaveOccurred())
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}
