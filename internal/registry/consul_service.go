package registry

// This file reads members that are the instances of a Consul service: their address and metadata form an entry, and
// their health checks determine its phase.

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"weirwind/internal/roster"
)

// consulInstance is an instance of a service, with its node and its health checks. It is an alias like entryForm.
type consulInstance = struct {
	Node    struct{ Address string }
	Service struct {
		ID, Address string // an empty address stands for the node's
		Port        int
		Meta        map[string]string // cell, locality, access, up_since_ms
		ModifyIndex int64             // doesn't change with the checks, so it is no revision of an entry
	}
	Checks []struct{ Status string }
}

// instanceForm is an instance as an entry.
type instanceForm struct {
	Access    string      `json:"access"`
	Group     json.Number `json:"cell,omitempty"`
	Address   string      `json:"host_port"`
	Zone      string      `json:"locality"`
	Phase     string      `json:"phase"`
	StartedAt json.Number `json:"up_since_ms,omitempty"`
}

// addInstances adds the instances of a service to an update.
func addInstances(update *roster.Update, text []byte) error {
	var instances []consulInstance
	if err := json.Unmarshal(text, &instances); err != nil {
		return err
	}
	for i := range instances {
		id, form := instances[i].Service.ID, instanceEntry(&instances[i])
		value, err := json.Marshal(form)
		if err != nil { // metadata that should be a number and isn't
			addInvalid(update, id, phases[form.Phase], err)
			continue
		}
		addEntry(update, id, value, 0) // without a revision, see ModifyIndex
	}
	return nil
}

func instanceEntry(i *consulInstance) instanceForm {
	s := &i.Service
	host := s.Address
	if host == "" {
		host = i.Node.Address
	}
	return instanceForm{
		Access:    s.Meta["access"],
		Group:     json.Number(strings.TrimSpace(s.Meta["cell"])),
		Address:   net.JoinHostPort(host, strconv.Itoa(s.Port)),
		Zone:      s.Meta["locality"],
		Phase:     instancePhase(i),
		StartedAt: json.Number(strings.TrimSpace(s.Meta["up_since_ms"])),
	}
}

// instancePhase returns draining for an instance in maintenance or with a critical check, which Consul's own clients
// leave out.
func instancePhase(i *consulInstance) string {
	for _, c := range i.Checks {
		if c.Status == "critical" || c.Status == "maintenance" {
			return "draining"
		}
	}
	return "up"
}
