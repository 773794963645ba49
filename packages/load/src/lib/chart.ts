/**
 * Renders line charts as SVG text without a browser.
 */
import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';

/** @public */
export type ChartLine = {label: string; values: readonly number[]; dashed?: boolean};

/** @public */
export type ChartPanel = {
	title: string;
	lines: ChartLine[];
	/** Seconds between consecutive values. */
	step: number;
	/** Shaded time spans, in seconds. */
	shaded: Array<{from: number; to: number; label: string}>;
};

const panelSize = {width: 520, height: 260} as const;
const margins = {
	left: 56, right: 12, top: 30, bottom: 58,
} as const;
const colours = ['#1f77b4', '#d62728', '#2ca02c', '#ff7f0e', '#9467bd', '#8c564b'] as const;
const legendColumnWidth = 130;

/** Draws panels side by side with a shared vertical scale, so that they can be compared. @public */
export function drawPanels(panels: readonly ChartPanel[], verticalLabel: string): string {
	const maximumValue = Math.max(1, ...panels.flatMap(panel => panel.lines.flatMap(({values}) => [...values])));
	const width = panelSize.width * panels.length;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${panelSize.height}" viewBox="0 0 ${width} ${panelSize.height}" font-family="sans-serif" font-size="11">`,
		`<rect width="${width}" height="${panelSize.height}" fill="white"/>`,
		...panels.map((panel, index) => `<g transform="translate(${index * panelSize.width},0)">\n${drawPanel(panel, maximumValue, verticalLabel)}\n</g>`),
		'</svg>\n',
	].join('\n');
}

function drawPanel(panel: ChartPanel, maximumValue: number, verticalLabel: string): string {
	const seconds = panel.step * Math.max(1, ...panel.lines.map(({values}) => values.length - 1));
	const x = scaleLinear([0, seconds], [margins.left, panelSize.width - margins.right]);
	const y = scaleLinear([0, maximumValue], [panelSize.height - margins.bottom, margins.top]).nice();
	const path = line<number>((_, index) => x(index * panel.step), value => y(value));
	const bottom = panelSize.height - margins.bottom;
	return [
		`<text x="${margins.left}" y="16" font-size="13">${escapeText(panel.title)}</text>`,
		...panel.shaded.map(({from, to, label}) =>
			`<rect x="${x(from)}" y="${margins.top}" width="${x(Math.min(to, seconds)) - x(from)}" height="${bottom - margins.top}" fill="#eee"><title>${escapeText(label)}</title></rect>`),
		...y.ticks(5).flatMap(tick => [
			`<path d="M${margins.left},${y(tick)}H${panelSize.width - margins.right}" stroke="#ddd"/>`,
			`<text x="${margins.left - 5}" y="${y(tick) + 4}" text-anchor="end">${tick}</text>`,
		]),
		...x.ticks(8).map(tick => `<text x="${x(tick)}" y="${bottom + 14}" text-anchor="middle">${tick}</text>`),
		`<text x="${panelSize.width - margins.right}" y="${bottom + 28}" text-anchor="end">seconds</text>`,
		`<text transform="translate(12,${margins.top}) rotate(-90)" text-anchor="end">${escapeText(verticalLabel)}</text>`,
		...panel.lines.map(({values, dashed}, index) =>
			`<path d="${path([...values]) ?? ''}" fill="none" stroke="${colours[index % colours.length]!}" stroke-width="1.5"${dashed === true ? ' stroke-dasharray="4 3"' : ''}/>`),
		...panel.lines.map(({label, dashed}, index) => {
			const left = margins.left + ((index % 3) * legendColumnWidth);
			const baseline = bottom + 32 + (Math.floor(index / 3) * 15);
			const dashes = dashed === true ? ' stroke-dasharray="4 3"' : '';
			return `<path d="M${left},${baseline - 4}h18" stroke="${colours[index % colours.length]!}" stroke-width="2"${dashes}/><text x="${left + 23}" y="${baseline}">${escapeText(label)}</text>`;
		}),
	].join('\n');
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
