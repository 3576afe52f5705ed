"""Hedged requests: when a second attempt at a slow request starts, and whether it may."""

from celeryrun.hedging._delay import DecayingQuantile, HedgeDelays
from celeryrun.hedging._gate import HedgeBudget, HedgeGate, may_hedge

__all__ = ["DecayingQuantile", "HedgeBudget", "HedgeDelays", "HedgeGate", "may_hedge"]
