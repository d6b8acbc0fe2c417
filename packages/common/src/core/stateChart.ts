import { readFileSync } from 'node:fs';

import { createMachine, getNextTransitions, initialTransition, transition } from 'xstate';
import type { AnyMachineSnapshot, AnyStateMachine, MachineConfig } from 'xstate';

import { assertInvariant } from '../utils/assertInvariant.js';

/** State charts that ship with the project, in `charts/`. */
export type ChartName = 'task' | 'request' | 'partition' | 'daemon';

/** An interpreted state chart without nested states. */
export interface StateChart<State extends string> {
  readonly initial: State;
  /**
   * @param state current state
   * @param event name of the event
   * @returns next state, or null if the state does not take the event
   */
  next(state: State, event: string): State | null;
  /**
   * @param state current state
   * @param event name of the event
   * @returns next state
   * @throws InvariantError if the state does not take the event
   */
  advance(state: State, event: string): State;
  /** @returns whether the state has no way out */
  isFinal(state: State): boolean;
}

type TransitionTable = Map<string, Map<string, string>>;

/** Walks the chart once, so that a transition on a hot path is two look-ups. */
function buildTransitionTable(
  machine: AnyStateMachine,
  initial: AnyMachineSnapshot,
): TransitionTable {
  const table: TransitionTable = new Map();
  const unvisited = [initial];
  for (let snapshot = unvisited.pop(); snapshot; snapshot = unvisited.pop()) {
    const state = String(snapshot.value);
    if (table.has(state)) continue;
    const row = new Map<string, string>();
    table.set(state, row);
    const source = snapshot;
    getNextTransitions(source).forEach(({ eventType }) => {
      const [target] = transition(machine, source, { type: eventType });
      row.set(eventType, String(target.value));
      unvisited.push(target);
    });
  }
  return table;
}

/**
 * Loads a state chart and interprets it.
 *
 * @param name name of the chart
 * @returns the chart
 * @throws if the file is missing or not a valid chart
 */
export function loadStateChart<State extends string>(name: ChartName): StateChart<State> {
  const file = new URL(`../../charts/${name}.json`, import.meta.url);
  const config = JSON.parse(readFileSync(file, 'utf8')) as MachineConfig<object, never>;
  const machine = createMachine(config as never) as AnyStateMachine;
  const [initialSnapshot] = initialTransition(machine);
  const table = buildTransitionTable(machine, initialSnapshot as AnyMachineSnapshot);

  function next(state: State, event: string): State | null {
    return (table.get(state)?.get(event) as State | undefined) ?? null;
  }

  return {
    initial: String((initialSnapshot as AnyMachineSnapshot).value) as State,
    next,
    advance(state, event) {
      const target = next(state, event);
      assertInvariant(target !== null, `chart-${name}`, () => `${state} does not take ${event}`);
      return target;
    },
    isFinal: (state) => (table.get(state)?.size ?? 0) === 0,
  };
}
