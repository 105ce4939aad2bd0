package constraint

// tolerance absorbs the rounding of decimal amounts.
const tolerance = 1e-9

// holds evaluates an expression for a class of machines, with or without the image.
func (e *either) holds(class Class, hasImage bool) bool {
	for _, conjunction := range e.Any {
		if conjunction.holds(class, hasImage) {
			return true
		}
	}
	return false
}

func (b *both) holds(class Class, hasImage bool) bool {
	for _, t := range b.All {
		if !t.holds(class, hasImage) {
			return false
		}
	}
	return true
}

func (t *term) holds(class Class, hasImage bool) bool {
	switch {
	case t.Not != nil:
		return !t.Not.holds(class, hasImage)
	case t.Group != nil:
		return t.Group.holds(class, hasImage)
	case t.Spot:
		return class.Spot
	case t.Image:
		return hasImage
	}
	return t.Compare.holds(class)
}

func (c *compare) holds(class Class) bool {
	if c.Value == nil {
		return c.inList(class) != c.NotIn
	}
	switch c.Op {
	case "=":
		return c.equal(class, c.Value)
	case "!=":
		return !c.equal(class, c.Value)
	}
	have, want := c.number(class), *c.Value.Number
	switch c.Op {
	case "<":
		return have < want-tolerance
	case "<=":
		return have <= want+tolerance
	case ">":
		return have > want+tolerance
	}
	return have >= want-tolerance
}

// inList reports whether the attribute equals any value of the list.
func (c *compare) inList(class Class) bool {
	for _, v := range c.In {
		if c.equal(class, v) {
			return true
		}
	}
	return false
}

// equal reports whether the attribute equals a value.
func (c *compare) equal(class Class, v *value) bool {
	switch c.Attr {
	case "type":
		return class.Type.Name == *v.Text
	case "zone":
		return class.Zone == *v.Text
	}
	difference := c.number(class) - *v.Number
	return difference < tolerance && difference > -tolerance
}

// number is a numeric attribute: CPUs, GPUs, GB, GB a second, or the price for an hour.
func (c *compare) number(class Class) float64 {
	switch c.Attr {
	case "cpus":
		return class.Type.Capacity.CPU
	case "gpus":
		return class.Type.Capacity.GPU
	case "memory":
		return class.Type.Capacity.MemGB
	case "disk":
		return class.Type.CacheGB
	case "fetch":
		return class.Type.FetchGBPerS
	}
	return class.Price()
}
