package config

// This file parses a configuration and validates it.

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"

	"github.com/go-playground/validator/v10"
)

// Parse parses and validates a whole configuration. Errors are of type *RejectedError.
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

// decodeStrict decodes one JSON value and fails if anything follows it.
func decodeStrict(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
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

// checkFields validates each field on its own, and returns an error for the first invalid one.
func checkFields(config *Config) error {
	err := fieldValidator.Struct(config)
	if err == nil {
		return nil
	}
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return invalid(reasonInvalidField, "%v", err)
	}
	first := fieldErrors[0]
	return invalid(reasonInvalidField, "%s is %v, which %s does not allow",
		first.Namespace(), first.Value(), first.ActualTag())
}

func (c *Config) indexServices() error {
	c.serviceByName = map[string]*Service{}
	for i := range c.Services {
		service := &c.Services[i]
		if c.serviceByName[service.Name] != nil {
			return invalid(reasonDuplicateService, "two services are named %q", service.Name)
		}
		c.serviceByName[service.Name] = service
	}
	return nil
}

// indexRoutes must be called after indexServices.
func (c *Config) indexRoutes() error {
	c.routeByHost = map[string]*Route{}
	type match struct{ host, prefix string }
	names, nameByMatch := map[string]bool{}, map[match]string{}
	for i := range c.Routes {
		route := &c.Routes[i]
		if names[route.Name] {
			return invalid(reasonDuplicateRoute, "two routes are named %q", route.Name)
		}
		names[route.Name] = true
		if c.serviceByName[route.Service] == nil {
			return invalid(reasonUnknownService, "route %q names service %q, which there is not", route.Name, route.Service)
		}
		key := match{route.Host, route.Prefix}
		if other, found := nameByMatch[key]; found {
			return invalid(reasonDuplicateMatch, "routes %q and %q have the same host and prefix", other, route.Name)
		}
		nameByMatch[key] = route.Name
		if current := c.routeByHost[route.Host]; current == nil || len(route.Prefix) < len(current.Prefix) {
			c.routeByHost[route.Host] = route
		}
	}
	return nil
}

// indexTenants does not include keys in its errors: keys are secrets, and errors are logged and shown to operators.
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
