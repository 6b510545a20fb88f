package commands

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/wire/mesh"
)

const (
	partsTimeout  = 5 * time.Second
	maxPartsBytes = 1 << 20
)

// partsCmd lists or releases parts of prompts that are in quarantine.
type partsCmd struct {
	Instance string  `arg:"" help:"Metrics address of a gateway, IP:PORT."`
	Release  string  `placeholder:"ID" help:"End the quarantine of this part, on all instances."`
	Service  *string `help:"Only for this service."`
	Model    *string `help:"Only for this model."`
}

// Run prints the parts in quarantine, or releases one.
func (c *partsCmd) Run(s *streams) error {
	if c.Release == "" && (c.Service != nil || c.Model != nil) {
		return usagef("--service and --model go with --release")
	}
	if c.Release == "" {
		return c.list(s)
	}
	q := url.Values{}
	if c.Service != nil {
		q.Set("service", *c.Service)
	}
	if c.Model != nil {
		q.Set("model", *c.Model)
	}
	_, err := c.call(http.MethodDelete, "/"+url.PathEscape(c.Release)+"?"+q.Encode())
	return err
}

// list prints the parts in quarantine.
func (c *partsCmd) list(s *streams) error {
	b, err := c.call(http.MethodGet, "")
	if err != nil {
		return err
	}
	var list mesh.Parts
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode parts")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PART\tSERVICE\tMODEL\tCRASHES\tREQUESTS\tTRIALS\tLAST REFUSED")
	for _, p := range list.Parts {
		idle := (time.Duration(p.Idle) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%v ago\n", p.Id, p.Service, p.Model, p.Crashes, p.Requests, p.Trials, idle)
	}
	return errors.WithStack(w.Flush())
}

// call calls the instance and returns the body of its response.
func (c *partsCmd) call(method, path string) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+c.Instance+"/parts"+path, nil)
	if err != nil {
		return nil, usagef("instance: %v", err)
	}
	resp, err := (&http.Client{Timeout: partsTimeout}).Do(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	b, err := bounded.ReadAll(resp.Body, maxPartsBytes)
	switch {
	case err != nil:
		return nil, errors.WithStack(err)
	case resp.StatusCode == http.StatusNotFound && method == http.MethodDelete:
		return nil, errors.Errorf("part %q is not in quarantine", c.Release)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, errors.Errorf("%s: status %d", c.Instance, resp.StatusCode)
	}
	return b, nil
}
