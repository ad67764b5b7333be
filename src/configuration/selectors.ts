/**
 * Decides whether labels satisfy a selector. Every requirement must hold; the semantics are those
 * of set-based label selectors: `NotIn` and `DoesNotExist` also hold where the label is absent.
 */
import { match } from 'ts-pattern';
import type { Labels } from '../ports/index.js';
import type { Selector } from './objects.js';

type Requirement = Selector['matchExpressions'][number];

/**
 * Tells whether every requirement of a selector holds.
 *
 * @param selector the selector; an empty one matches everything
 * @param labels the labels of the object in question
 */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return findUnmetRequirement(selector, labels) === undefined;
}

/**
 * Finds the first requirement that does not hold.
 *
 * @param selector the selector
 * @param labels the labels of the object in question
 * @returns the requirement and the label's value in words, or `undefined` when all hold
 */
export function findUnmetRequirement(selector: Selector, labels: Labels): string | undefined {
  for (const [key, value] of Object.entries(selector.matchLabels)) {
    if (readLabel(labels, key) !== value) return describe(`${key} = ${value}`, labels, key);
  }
  for (const requirement of selector.matchExpressions) {
    if (holds(requirement, readLabel(labels, requirement.key))) continue;
    return describe(describeRequirement(requirement), labels, requirement.key);
  }
  return undefined;
}

function readLabel(labels: Labels, key: string): string | undefined {
  return Object.hasOwn(labels, key) ? labels[key] : undefined;
}

function holds(requirement: Requirement, value: string | undefined): boolean {
  return match(requirement.operator)
    .with('In', () => value !== undefined && requirement.values.includes(value))
    .with('NotIn', () => value === undefined || !requirement.values.includes(value))
    .with('Exists', () => value !== undefined)
    .with('DoesNotExist', () => value === undefined)
    .exhaustive();
}

function describeRequirement(requirement: Requirement): string {
  const values = requirement.values.length > 0 ? ` (${requirement.values.join(', ')})` : '';
  return `${requirement.key} ${requirement.operator}${values}`;
}

function describe(requirement: string, labels: Labels, key: string): string {
  const value = readLabel(labels, key);
  const found = value === undefined ? 'the label is absent' : `the label is "${value}"`;
  return `requires ${requirement}, but ${found}`;
}
