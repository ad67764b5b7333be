/**
 * The report of an experiment as one HTML page with charts drawn to SVG, and the numbers as JSON.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { GroupSummary, RunSummary } from './summary.js';

/** What is reported. */
export interface Report {
  /** How it was called, so that it can be called again. */
  command: string;
  /** The constants' source and the scale of the swing. */
  notes: string[];
  summaries: RunSummary[];
  /** The table and the findings, as printed. */
  text: string;
}

const FOLDER = 'out/bench';
const WIDTH = 460;
const SMOOTHED_SECONDS = 3;

/**
 * Writes `<name>.json` and `<name>.html`.
 *
 * @param name name of the files
 * @param report what to write
 * @returns the paths
 */
export async function writeReport(name: string, report: Report): Promise<string[]> {
  mkdirSync(FOLDER, { recursive: true });
  const json = `${FOLDER}/${name}.json`;
  const html = `${FOLDER}/${name}.html`;
  writeFileSync(json, JSON.stringify(report, undefined, 1));
  const charts: string[] = [];
  for (const spec of listCharts(report.summaries)) {
    charts.push(await drawChart(spec));
  }
  writeFileSync(html, createPage(report, charts));
  return [json, html];
}

async function drawChart(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
}

function listCharts(summaries: readonly RunSummary[]): TopLevelSpec[] {
  const charts = [goodChart(summaries), firstTokenChart(summaries), timelineChart(summaries)];
  if (countValues(summaries, 'load') > 1) charts.push(curveChart(summaries, 'load'));
  if (countValues(summaries, 'changeCost') > 1) charts.push(roleChangeChart(summaries));
  return charts;
}

function countValues(summaries: readonly RunSummary[], field: 'load' | 'changeCost'): number {
  return new Set(summaries.map((summary) => summary[field])).size;
}

interface NamedGroup {
  group: string;
  summary: GroupSummary;
}

function listGroups({ byClass, large, small }: RunSummary): NamedGroup[] {
  return [
    { group: 'verdicts', summary: byClass.verdict },
    { group: 'worked answers', summary: byClass['worked-answer'] },
    { group: 'service calls', summary: byClass['service-call'] },
    { group: 'large team', summary: large },
    { group: 'small teams', summary: small },
  ];
}

function goodChart(summaries: readonly RunSummary[]): TopLevelSpec {
  const values = [];
  for (const run of summaries) {
    for (const { group, summary } of listGroups(run)) {
      values.push({ run: run.name, group, share: summary.goodShare });
    }
  }
  return {
    title: 'Answers whole and on time, as a share of requests',
    data: { values },
    width: WIDTH,
    mark: 'bar',
    encoding: {
      y: { field: 'group', type: 'nominal', title: null, sort: null },
      x: { field: 'share', type: 'quantitative', title: null, axis: { format: '.0%' } },
      yOffset: { field: 'run', sort: null },
      color: { field: 'run', type: 'nominal', title: null, sort: null },
    },
  };
}

function firstTokenChart(summaries: readonly RunSummary[]): TopLevelSpec {
  const values = [];
  for (const run of summaries) {
    const { p50, p95, p99 } = run.all.firstToken;
    values.push({ run: run.name, percentile: 'p50', ms: p50 });
    values.push({ run: run.name, percentile: 'p95', ms: p95 });
    values.push({ run: run.name, percentile: 'p99', ms: p99 });
  }
  return {
    title: 'Time to the first token',
    data: { values },
    width: WIDTH,
    mark: { type: 'point', filled: true },
    encoding: {
      y: { field: 'run', type: 'nominal', title: null, sort: null },
      x: { field: 'ms', type: 'quantitative', title: 'ms', scale: { type: 'log' } },
      color: { field: 'percentile', type: 'nominal', title: null },
    },
  };
}

function timelineChart(summaries: readonly RunSummary[]): TopLevelSpec {
  const values = [];
  for (const run of summaries) {
    for (const { second } of run.timeline) {
      const recent = run.timeline.slice(Math.max(0, second - SMOOTHED_SECONDS + 1), second + 1);
      let good = 0;
      for (const entry of recent) {
        good += entry.good;
      }
      values.push({ run: run.name, second, goodput: good / recent.length });
    }
  }
  return {
    title: `Good answers a second, by time of sending, mean of ${SMOOTHED_SECONDS} s`,
    data: { values },
    width: WIDTH,
    mark: 'line',
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 'seconds' },
      y: { field: 'goodput', type: 'quantitative', title: null },
      color: { field: 'run', type: 'nominal', title: null, sort: null },
    },
  };
}

function curveChart(summaries: readonly RunSummary[], field: 'load'): TopLevelSpec {
  const values = [];
  for (const { policy, goodput, ...run } of summaries) {
    values.push({ policy, goodput, [field]: run[field] });
  }
  return {
    title: 'Goodput over the offered load',
    data: { values },
    width: WIDTH,
    mark: { type: 'line', point: true },
    encoding: {
      x: { field, type: 'quantitative', title: "share of the fleet's capacity" },
      y: { field: 'goodput', type: 'quantitative', title: 'good answers a second' },
      color: { field: 'policy', type: 'nominal', title: null, sort: null },
    },
  };
}

function roleChangeChart(summaries: readonly RunSummary[]): TopLevelSpec {
  const values = [];
  for (const { policy, goodput, roleChanges, changeCost } of summaries) {
    values.push({ policy, goodput, roleChanges, changeCost });
  }
  return {
    title: "Goodput against role changes, over the operator's weight",
    data: { values },
    width: WIDTH,
    layer: [
      { mark: { type: 'line', point: true } },
      { mark: { type: 'text', dy: -8 }, encoding: { text: { field: 'changeCost' } } },
    ],
    encoding: {
      x: { field: 'roleChanges', type: 'quantitative', title: 'role changes' },
      y: { field: 'goodput', type: 'quantitative', title: 'good answers a second' },
      color: { field: 'policy', type: 'nominal', title: null, sort: null },
      order: { field: 'changeCost' },
    },
  };
}

function createPage({ command, notes, text }: Report, charts: readonly string[]): string {
  const parts = ['<!doctype html><meta charset="utf-8"><title>reedtally bench</title>'];
  parts.push('<style>body{font:14px sans-serif;margin:2em}svg{margin:1em 0;display:block}</style>');
  parts.push(`<h1>Reedtally bench</h1><p><code>${escapeHtml(command)}</code></p>`);
  for (const note of notes) {
    parts.push(`<p>${escapeHtml(note)}</p>`);
  }
  parts.push(...charts, `<pre>${escapeHtml(text)}</pre>`);
  return parts.join('\n');
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
