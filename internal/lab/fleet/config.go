package fleet

// This file owns the configuration files of a driver's process.

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// zonesBlock is the operators' configuration of zone decisions, up to the webhook's URL.
const zonesBlock = "zones {\n  region \"r\" {\n    zones = [\"a\", \"b\", \"c\"]\n  }\n  beat  = \"200ms\"\n" +
	"  lease = \"3s\"\n  doubt = \"400ms\"\n  away  = \"1s\"\n  webhook = "

func (d *Driver) file(kind string) string {
	return filepath.Join(d.fleet.folder, fmt.Sprintf("%d.%s", d.index, kind))
}

// zone returns the driver's zone, or "" if the fleet has no zones.
func (d *Driver) zone() string {
	zones := d.fleet.options.Zones
	if len(zones) == 0 {
		return ""
	}
	return zones[d.index%len(zones)]
}

// writeFiles writes the platform's configuration, the operators' configuration and the shared secret.
func (d *Driver) writeFiles() error {
	secret := "a secret of drivers"
	if secretOf := d.fleet.options.Secret; secretOf != nil {
		secret = secretOf(d.index)
	}
	for kind, content := range map[string][]byte{
		"json":  d.platformConfig(),
		"hcl":   []byte(d.operatorConfig()),
		"token": []byte(secret),
	} {
		if err := os.WriteFile(d.file(kind), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// platformConfig returns the configuration in the platform's format.
func (d *Driver) platformConfig() []byte {
	o := &d.fleet.options
	config := o.Cluster.Configuration(d.Name, d.Address, o.ExpectedDrivers, d.index)
	if zone := d.zone(); zone != "" {
		config = bytes.ReplaceAll(config, []byte(`"zone": "a"`), fmt.Appendf(nil, `"zone": %q`, zone))
	}
	if o.Discovery != nil {
		config = bytes.ReplaceAll(config, []byte(o.Cluster.Discovery()), []byte(o.Discovery(d.index)))
	}
	return config
}

// operatorConfig returns the operators' configuration, in HCL.
func (d *Driver) operatorConfig() string {
	o, links := &d.fleet.options, d.fleet.Links
	var seeds []string
	for _, s := range o.Seeds(d.index) {
		if s != d.index {
			seeds = append(seeds, fmt.Sprintf("%q", links.AdvertisedAddr(s)))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "control {\n  socket     = %q\n  token_file = %q\n  lease      = \"3s\"\n  most       = \"1m\"\n"+
		"  opening    = \"3s\"\n}\n", d.socket, d.file("token"))
	fmt.Fprintf(&b, "membership {\n  listen    = %q\n  advertise = %q\n  seeds     = [%s]\n",
		links.ListenAddr(d.index), links.AdvertisedAddr(d.index), strings.Join(seeds, ", "))
	if o.KeepVotes {
		fmt.Fprintf(&b, "  folder    = %q\n", d.file("votes"))
	}
	if zone := d.zone(); zone != "" {
		fmt.Fprintf(&b, "  zone      = %q\n", zone)
	}
	fmt.Fprintf(&b, "  period    = %q\n  expect    = %d\n  yield     = %q\n}\n", o.Period, o.ExpectedDrivers,
		o.TakeoverAfter)
	if d.zone() != "" {
		fmt.Fprintf(&b, "%s%q\n}\n", zonesBlock, o.Webhook)
	}
	return b.String()
}
