"""Measurements of the policy and of the queue; no part of the product."""
