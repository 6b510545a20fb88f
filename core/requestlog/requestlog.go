// Package requestlog finds what became of a request in the logs of instances.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
)

const (
	// MaxLineBytes is the size of the longest line that is read: that of a panic with its stack.
	MaxLineBytes = 1 << 20
	// maxStates is the number of changes of state that are kept while the end of the request has not been read.
	maxStates = 20000
)

// Field is a field of a line.
type Field struct {
	Name  string
	Value string // as JSON, strings without quotes
}

// Entry is a line of a log.
type Entry struct {
	Time     time.Time
	Instance string // its name, or that of the log before it is known
	Message  string
	Fields   []Field
}

// value returns the value of a field, or an empty string if there is none.
func (e *Entry) value(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// number returns the value of a field that is a number, or 0.
func (e *Entry) number(name string) float64 {
	n, _ := strconv.ParseFloat(e.value(name), 64) // 0 if it is none
	return n
}

// endsRequest reports whether the line is the last one of a request.
func (e *Entry) endsRequest() bool { return e.Message == "request" || e.Message == "panic" }

// arrival returns when the request of its last line arrived.
func (e *Entry) arrival() time.Time {
	return e.Time.Add(-time.Duration(e.number("total") * float64(time.Millisecond)))
}

// Story is what the logs tell of a request. Times in its lines are those of the instances' clocks.
type Story struct {
	id      core.RequestID
	entries []Entry // of the request, and the changes of state of their instances meanwhile
}

// New returns the story of a request of which nothing has been read.
func New(id core.RequestID) *Story { return &Story{id: id} }

// Read adds the lines of a log. Lines that are no JSON objects are skipped. The last word before an object, as in the joint log of
// several processes, is taken for the instance's name. It returns an error if the log cannot be read.
func (s *Story) Read(name string, r io.Reader) error {
	var (
		own    []Entry
		states []Entry // lines that concern no request
		id     = []byte(`"` + string(s.id) + `"`)
		other  = []byte(`"request":`)
	)
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, MaxLineBytes)
	for sc.Scan() {
		line := sc.Bytes()
		if bytes.Contains(line, other) && !bytes.Contains(line, id) {
			continue
		}
		e, ok := parse(line)
		if !ok {
			continue
		}
		joint := e.Instance != ""
		if !joint {
			e.Instance = name
		}
		switch e.value("request") {
		case string(s.id):
			own = append(own, e)
			if e.endsRequest() {
				s.add(own, states)
				own = nil
			}
		case "":
			if e.Message == "starting" && e.value("instance") != "" && !joint {
				name = e.value("instance")
				e.Instance = name
			}
			if len(states) == maxStates {
				states = slices.Delete(states, 0, maxStates/2)
			}
			states = append(states, e)
		}
	}
	s.add(own, states)
	return errors.Wrap(sc.Err(), name)
}

// add adds lines of the request, and the changes of state since its arrival that may concern it.
func (s *Story) add(own, states []Entry) {
	if len(own) == 0 {
		return
	}
	begin := own[0].Time
	if last := own[len(own)-1]; last.Message == "request" {
		begin = last.arrival()
	}
	var instances, endpoints []string
	for _, e := range own {
		instances = append(instances, e.Instance)
		endpoints = append(endpoints, e.value("endpoint"), e.value("standby"))
	}
	for _, e := range states {
		id := e.value("endpoint")
		if !e.Time.Before(begin) && slices.Contains(instances, e.Instance) && (id == "" || slices.Contains(endpoints, id)) {
			s.entries = append(s.entries, e)
		}
	}
	s.entries = append(s.entries, own...)
	slices.SortStableFunc(s.entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
}

// Split splits a line into its object and the name of the instance, which is the last word before the object in the joint log of
// several processes, else empty. ok is false if the line holds no valid object.
func Split(line []byte) (instance string, object []byte, ok bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 || !json.Valid(line[i:]) {
		return "", nil, false
	}
	if words := strings.FieldsFunc(string(line[:i]), func(r rune) bool { return strings.ContainsRune(" \t:|", r) }); len(words) > 0 {
		instance = words[len(words)-1]
	}
	return instance, line[i:], true
}

// parse reads a line.
func parse(line []byte) (e Entry, ok bool) {
	instance, object, ok := Split(line)
	if !ok {
		return e, false
	}
	e.Instance = instance
	d := json.NewDecoder(bytes.NewReader(object))
	d.Token() // the brace
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return e, false
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return e, false
		}
		text := string(raw)
		var unquoted string
		if json.Unmarshal(raw, &unquoted) == nil {
			text = unquoted
		}
		switch name {
		case "time":
			if e.Time, err = time.Parse(time.RFC3339Nano, text); err != nil {
				return e, false
			}
		case "level":
		case "msg":
			e.Message = text
		default:
			e.Fields = append(e.Fields, Field{Name: fmt.Sprint(name), Value: text})
		}
	}
	return e, !e.Time.IsZero() && e.Message != ""
}

// Found reports whether a line of the request has been read.
func (s *Story) Found() bool { return len(s.entries) > 0 }

// Write writes the lines in the order of their times, in milliseconds since the request first arrived, and what became of it at each
// instance.
func (s *Story) Write(w io.Writer) error {
	if !s.Found() {
		return nil
	}
	begin := s.entries[0].Time
	for i := range s.entries {
		if e := &s.entries[i]; e.Message == "request" && e.arrival().Before(begin) {
			begin = e.arrival()
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, first seen %s\n", s.id, begin.Format(time.RFC3339Nano))
	for i := range s.entries {
		e := &s.entries[i]
		fmt.Fprintf(&b, "%9.1f ms  %s  %s", float64(e.Time.Sub(begin))/float64(time.Millisecond), e.Instance, e.Message)
		for _, f := range e.Fields {
			if f.Name != "request" && f.Name != "stack" {
				fmt.Fprintf(&b, " %s=%s", f.Name, quote(f.Value))
			}
		}
		b.WriteByte('\n')
		if e.endsRequest() && e.value("request") == string(s.id) {
			fmt.Fprintf(&b, "%14s%s\n", "", e.outcome())
		}
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write")
}

// quote quotes a value if it would not be one word.
func quote(v string) string {
	if v == "" || strings.ContainsAny(v, " \"\n=") {
		return strconv.Quote(v)
	}
	return v
}

// outcome describes what became of a request, from its last line.
func (e *Entry) outcome() string {
	if e.Message == "panic" {
		return "Its handler failed, and the connection was closed without a response."
	}
	var b strings.Builder
	status, reason := e.value("status"), e.value("reason")
	switch {
	case status == "499":
		fmt.Fprintf(&b, "The caller left while it waited for: %s.", e.value("left"))
	case e.value("aborted") == "true":
		fmt.Fprintf(&b, "The response was broken off after event %s: %s.", quote(e.value("last")), reason)
	case reason == "served":
		fmt.Fprintf(&b, "Served with %s by %s.", status, e.value("endpoint"))
	default:
		fmt.Fprintf(&b, "Answered %s: %s.", status, reason)
	}
	if cause := e.value("cause"); cause != "" {
		fmt.Fprintf(&b, " Cause: %s.", cause)
	}
	switch ran := e.value("ran"); {
	case reason == "served":
	case ran == "" || ran == "0":
		b.WriteString(" It did not run.")
	default:
		fmt.Fprintf(&b, " It may have run at %s endpoint(s).", ran)
	}
	if retry := e.value("retry"); retry != "" {
		fmt.Fprintf(&b, " The caller was told to come back after %s ms.", retry)
	}
	return b.String()
}
