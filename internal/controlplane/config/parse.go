package config

// Reading a configuration and validating it against itself.

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"

	"github.com/go-playground/validator/v10"
)

// Parse reads a whole configuration and validates it. Its errors are RejectedErrors.
func Parse(raw []byte) (*Config, error) {
	c := &Config{}
	if err := decodeStrict(raw, c); err != nil {
		return nil, invalid(reasonTruncated, "the configuration can't be read in full: %v", err)
	}
	if err := checkFields(c); err != nil {
		return nil, err
	}
	if err := c.indexServices(); err != nil {
		return nil, err
	}
	if err := c.indexRoutes(); err != nil {
		return nil, err
	}
	if err := c.indexTenants(); err != nil {
		return nil, err
	}
	return c, nil
}

// decodeStrict reads JSON that must be one value with nothing after it.
func decodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows its end")
	}
	return nil
}

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("reported") })
	return v
}

// checkFields checks each field by itself, and reports the first that is wrong.
func checkFields(config *Config) error {
	err := fieldValidator.Struct(config)
	if err == nil {
		return nil
	}
	var wrong validator.ValidationErrors
	if !errors.As(err, &wrong) {
		return invalid(reasonInvalidField, "%v", err)
	}
	first := wrong[0]
	return invalid(reasonInvalidField, "%s is %v, which %s does not allow",
		first.Namespace(), first.Value(), first.ActualTag())
}

func (c *Config) indexServices() error {
	c.serviceByName = map[string]*Service{}
	for i := range c.Services {
		s := &c.Services[i]
		if c.serviceByName[s.Name] != nil {
			return invalid(reasonDuplicateService, "two services are named %q", s.Name)
		}
		c.serviceByName[s.Name] = s
	}
	return nil
}

// indexRoutes needs the services' index.
func (c *Config) indexRoutes() error {
	c.routeByHost = map[string]*Route{}
	type match struct{ host, prefix string }
	names, nameByMatch := map[string]bool{}, map[match]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if names[r.Name] {
			return invalid(reasonDuplicateRoute, "two routes are named %q", r.Name)
		}
		names[r.Name] = true
		if c.serviceByName[r.Service] == nil {
			return invalid(reasonUnknownService, "route %q names service %q, which there is not", r.Name, r.Service)
		}
		m := match{r.Host, r.Prefix}
		if other, found := nameByMatch[m]; found {
			return invalid(reasonDuplicateMatch, "routes %q and %q have the same host and prefix", other, r.Name)
		}
		nameByMatch[m] = r.Name
		if old := c.routeByHost[r.Host]; old == nil || len(r.Prefix) < len(old.Prefix) {
			c.routeByHost[r.Host] = r
		}
	}
	return nil
}

// indexTenants leaves keys out of its errors, which operators see and logs keep: keys are secrets.
func (c *Config) indexTenants() error {
	c.tenantByName, c.tenantByKey = map[string]*Tenant{}, map[string]*Tenant{}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if c.tenantByName[tenant.Name] != nil {
			return invalid(reasonDuplicateTenant, "two tenants are named %q", tenant.Name)
		}
		c.tenantByName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			if other := c.tenantByKey[key]; other != nil && other != tenant {
				return invalid(reasonSharedKey, "tenants %q and %q have a key in common", other.Name, tenant.Name)
			}
			c.tenantByKey[key] = tenant
		}
	}
	return nil
}
