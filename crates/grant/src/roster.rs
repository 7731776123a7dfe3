//! The seats of one failure domain and the units that each holds.

use std::fmt;

use base::{Address, Incarnation, Seat, SortedMap};
use serde::{Deserialize, Serialize};

/// A number of units. Each team's allowance is divided into [`Units::TOTAL`] equal units.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Units(pub u32);

impl Units {
    /// Zero units.
    pub const ZERO: Units = Units(0);
    /// All units of the fleet.
    pub const TOTAL: Units = Units(1 << 20);

    /// Returns the share of [`Units::TOTAL`] that each of `domains` failure domains has.
    pub fn per_domain(domains: usize) -> Units {
        Units(Units::TOTAL.0 / u32::try_from(domains.max(1)).unwrap_or(u32::MAX))
    }
}

impl fmt::Display for Units {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.0, Units::TOTAL.0)
    }
}

/// One seat in a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatEntry {
    /// Incarnation that holds the units.
    pub incarnation: Incarnation,
    /// Units held.
    pub units: Units,
}

/// A change to a roster, to be written by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterStep {
    /// Adds the seat. If a former incarnation has an entry at its address, the seat replaces it and
    /// keeps its units.
    Join(Seat),
    /// Assigns free units to the seat.
    Take(Seat, Units),
    /// Moves units from the first seat to the second. The first seat must have stopped using them.
    Give(Seat, Seat, Units),
    /// Removes the seat at an address that is proved to be gone. Its units become free.
    Remove(Address),
}

/// The seats of one failure domain and their units, stored as one value in the key-value service.
///
/// Only a seat itself can give its units away. They become free only when the seat is proved to be
/// gone; a missing response is no proof. Hence the units that seats believe they hold never add up
/// to more than `total`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Units of this failure domain.
    pub total: Units,
    /// Seats by address.
    pub seats: SortedMap<Address, SeatEntry>,
}

impl Roster {
    /// Creates a roster without seats.
    pub fn new(total: Units) -> Roster {
        Roster { total, seats: SortedMap::default() }
    }

    /// Returns the units of a seat; zero for an unknown seat or a former incarnation.
    pub fn units(&self, seat: &Seat) -> Units {
        match self.seats.get(&seat.address) {
            Some(entry) if entry.incarnation == seat.incarnation => entry.units,
            _ => Units::ZERO,
        }
    }

    /// Returns whether `seat` is the current incarnation at its address.
    pub fn is_current(&self, seat: &Seat) -> bool {
        self.seats.get(&seat.address).is_some_and(|e| e.incarnation == seat.incarnation)
    }

    /// Iterates over the seats in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = Seat> + '_ {
        self.seats.iter().map(|(address, entry)| Seat {
            address: address.clone(),
            incarnation: entry.incarnation,
        })
    }

    /// Returns the units that no seat holds.
    pub fn free_units(&self) -> Units {
        let held: u64 = self.seats.values().map(|entry| u64::from(entry.units.0)).sum();
        let free = u64::from(self.total.0).saturating_sub(held);
        Units(u32::try_from(free).unwrap_or(u32::MAX))
    }

    /// Returns each seat's equal share of the units.
    pub fn fair_share(&self) -> Units {
        Units(self.total.0 / u32::try_from(self.seats.len().max(1)).unwrap_or(u32::MAX))
    }

    /// Returns the step that `seat` should take next, if any.
    pub fn next_step(&self, seat: &Seat) -> Option<RosterStep> {
        if !self.is_current(seat) {
            return Some(RosterStep::Join(seat.clone()));
        }
        let (own, fair, free) = (self.units(seat), self.fair_share(), self.free_units());
        if own < fair && free > Units::ZERO {
            return Some(RosterStep::Take(seat.clone(), Units(free.0.min(fair.0 - own.0))));
        }
        // A tolerance of one sixteenth keeps two seats from passing units back and forth.
        if own.0 > fair.0 + fair.0 / 16 {
            let smallest_holder = self.iter().min_by_key(|other| self.units(other))?;
            let shortfall = fair.0.saturating_sub(self.units(&smallest_holder).0);
            let given = Units(shortfall.min(own.0 - fair.0));
            if given.0 > 0 && smallest_holder != *seat {
                return Some(RosterStep::Give(seat.clone(), smallest_holder, given));
            }
        }
        None
    }

    /// Returns the roster with `step` applied, or `None` if the step is not valid for it.
    pub fn apply(&self, step: &RosterStep) -> Option<Roster> {
        let mut next = self.clone();
        match step {
            RosterStep::Join(seat) => {
                let new_entry = || SeatEntry { incarnation: seat.incarnation, units: Units::ZERO };
                next.seats.entry(seat.address.clone(), new_entry).incarnation = seat.incarnation;
            }
            RosterStep::Take(seat, units) => {
                if !self.is_current(seat) || *units > self.free_units() {
                    return None;
                }
                next.seats.get_mut(&seat.address)?.units.0 += units.0;
            }
            RosterStep::Give(from, to, units) => {
                if !self.is_current(from) || !self.is_current(to) || *units > self.units(from) {
                    return None;
                }
                next.seats.get_mut(&from.address)?.units.0 -= units.0;
                next.seats.get_mut(&to.address)?.units.0 += units.0;
            }
            RosterStep::Remove(address) => {
                next.seats.remove(address)?;
            }
        }
        Some(next)
    }
}
