package commands

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/wire/mesh"
)

const (
	endpointsTimeout  = 5 * time.Second
	maxEndpointsBytes = 8 << 20
)

// endpointsCmd lists what an instance believes about the load of each endpoint.
type endpointsCmd struct {
	Instance string `arg:"" help:"Metrics address of a gateway, IP:PORT."`
	Service  string `help:"Only of this service."`
}

// Run prints the endpoints.
func (c *endpointsCmd) Run(s *streams) error {
	resp, err := (&http.Client{Timeout: endpointsTimeout}).Get("http://" + c.Instance + "/endpoints")
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", c.Instance, resp.StatusCode)
	}
	b, err := bounded.ReadAll(resp.Body, maxEndpointsBytes)
	if err != nil {
		return errors.WithStack(err)
	}
	var list mesh.Endpoints
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode endpoints")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tENDPOINT\tSLOTS\tLIMIT\tKNOWN\tSTATED\tSPEED\tWHY")
	for _, e := range list.Endpoints {
		if c.Service != "" && e.Service != c.Service {
			continue
		}
		stated := "-"
		if e.Age >= 0 {
			stated = fmt.Sprintf("%d+%d, %v ago", e.Running, e.Waiting, time.Duration(e.Age)*time.Millisecond)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%d%%\t%s\n", e.Service, e.Id, e.Slots, e.Limit, e.Known, stated, e.Speed, e.Why)
	}
	return errors.WithStack(w.Flush())
}
