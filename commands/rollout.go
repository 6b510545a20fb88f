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
	rolloutTimeout  = 5 * time.Second
	maxRolloutBytes = 1 << 20
)

// rolloutCmd shows or stops orders to move services to another version.
type rolloutCmd struct {
	Instance string `arg:"" help:"Metrics address of a gateway, IP:PORT."`
	Stop     string `placeholder:"SERVICE" help:"Revert the order for this service, on all instances."`
}

// Run prints the orders, or stops one.
func (c *rolloutCmd) Run(s *streams) error {
	if c.Stop != "" {
		_, err := c.call(http.MethodDelete, "/"+url.PathEscape(c.Stop))
		return err
	}
	b, err := c.call(http.MethodGet, "")
	if err != nil {
		return err
	}
	var list mesh.Orders
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode orders")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTARGET\tSTATE\tAGE\tOF\tSHARE\tROUTE\tRESPONSES\tBAD\tVERDICT")
	for _, o := range list.Orders {
		seconds := func(ms int) time.Duration { return (time.Duration(ms) * time.Millisecond).Round(time.Second) }
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%.1f%%\tall\t%d\t%d\t%s\n", o.Service, o.Target, o.State, seconds(o.Age), seconds(o.Duration), float64(o.Share)/1e4, o.Responses, o.Bad, o.Verdict)
		for _, r := range o.Routes {
			fmt.Fprintf(w, "\t\t\t\t\t\t%s\t%d\t%d\t%s\n", r.Route, r.Responses, r.Bad, r.Verdict)
		}
	}
	return errors.WithStack(w.Flush())
}

// call calls the instance and returns the body of its response.
func (c *rolloutCmd) call(method, path string) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+c.Instance+"/rollouts"+path, nil)
	if err != nil {
		return nil, usagef("instance: %v", err)
	}
	resp, err := (&http.Client{Timeout: rolloutTimeout}).Do(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	b, err := bounded.ReadAll(resp.Body, maxRolloutBytes)
	switch {
	case err != nil:
		return nil, errors.WithStack(err)
	case resp.StatusCode == http.StatusNotFound && method == http.MethodDelete:
		return nil, errors.Errorf("service %q has no order in progress", c.Stop)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, errors.Errorf("%s: status %d", c.Instance, resp.StatusCode)
	}
	return b, nil
}
