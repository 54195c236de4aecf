import type { LoadRow } from './measureLoad'

const LEFT = 70
const TOP = 40
const WIDTH = 480
const HEIGHT = 260
const COLORS = ['#2f5d96', '#b5483a', '#4f8a4b', '#8a6d3b', '#6a4c93']
const LABEL_GAP = 6

/** Time a start over the size of the service, one line a load, both axes logarithmic, as an SVG image. */
export function plotLoad(rows: readonly LoadRow[]): string {
  const sizes = rows.map(({ endpoints }) => endpoints)
  const times = rows.map(({ startUs }) => startUs)
  const x = scale(Math.min(...sizes), Math.max(...sizes), LEFT, LEFT + WIDTH)
  const y = scale(Math.min(...times), Math.max(...times), TOP + HEIGHT, TOP)
  const loads = [...new Set(rows.map(({ load }) => load))].sort((a, b) => a - b)
  const lines = loads.flatMap((load, index) => {
    const color = COLORS[index % COLORS.length] ?? 'black'
    const points = rows
      .filter((row) => row.load === load)
      .sort((a, b) => a.endpoints - b.endpoints)
      .map(({ endpoints, startUs }) => [x(endpoints), y(startUs)] as const)
    const [lastX, lastY] = points.at(-1) ?? [0, 0]
    const path = points.map((point) => point.map((at) => at.toFixed(1)).join(',')).join(' ')
    return [
      `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`,
      `<text x="${lastX + LABEL_GAP}" y="${lastY}" fill="${color}">${load}</text>`,
    ]
  })
  const marks = [...new Set(sizes)].map((size) => {
    return `<text x="${x(size)}" y="${TOP + HEIGHT + 3 * LABEL_GAP}" text-anchor="middle">${size}</text>`
  })
  const bounds = [Math.min(...times), Math.max(...times)].map((us) => {
    return `<text x="${LEFT - LABEL_GAP}" y="${y(us)}" text-anchor="end">${us.toFixed(0)} µs</text>`
  })
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${LEFT + WIDTH + LEFT}" height="${TOP + HEIGHT + TOP}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    `<text x="${LEFT}" y="20">processor time of the leader's steps a start, by endpoints; lines: load over places</text>`,
    ...lines,
    ...marks,
    ...bounds,
    '</svg>',
    '',
  ].join('\n')
}

/** A logarithmic scale. */
function scale(least: number, most: number, from: number, to: number): (value: number) => number {
  const span = Math.max(Number.EPSILON, Math.log(most / least))
  return (value) => from + ((to - from) * Math.log(value / least)) / span
}
